package feed_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/fleet/feed"
)

// store is a Source with content that the test changes, and faults that it injects.
type store struct {
	mu sync.Mutex
	content
	// era is the era that the store states, and seenEra the one of its last answer.
	era, seenEra int64
	// targets is the number of targets, and beats numbers their heartbeats.
	targets, beats int
	down           bool
	compacted      bool
	// maxChanges, if not 0, is the number of changes that fit into an answer.
	maxChanges int
	calls      int
	lists      int
	listDelay  time.Duration
}

// content is all that a store loses when it comes back from a copy of it.
type content struct {
	items    map[string]feed.Item
	history  []feed.Item
	revision int64
	// oldest is the revision from which the history is known.
	oldest int64
}

// copyContent returns a copy of what the store holds.
func (s *store) copyContent() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return content{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision, oldest: s.oldest}
}

// returnFrom makes the store come back from a copy, in a new era.
func (s *store) returnFrom(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = content{items: maps.Clone(c.items), history: slices.Clone(c.history), revision: c.revision, oldest: c.oldest}
	s.era++
	s.down = false
}

func (s *store) write(key, value string) { s.writeWithFingerprint(key, value, "") }

func (s *store) writeWithFingerprint(key, value, fingerprint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := feed.Item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == "", Fingerprint: fingerprint}
	s.history = append(s.history, i)
	if i.Deleted {
		delete(s.items, key)
		return
	}
	s.items[key] = i
}

func (s *store) setFaults(down, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.compacted = down, compacted
}

// compact discards the history, and with it what watches from an earlier revision need.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
}

func (s *store) setEra(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

var errDown = errors.New("store is down")

func (s *store) setListDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDelay = d
}

func (s *store) List(context.Context) ([]feed.Item, feed.Position, error) {
	s.mu.Lock()
	delay := s.listDelay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.lists++
	if s.down {
		return nil, feed.Position{}, errDown
	}
	s.seenEra = s.era
	var all []feed.Item
	for _, i := range s.items {
		all = append(all, i)
	}
	s.compacted = false
	return all, feed.At(s.era, s.revision), nil
}

func (s *store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seenEra
}

func (s *store) Watch(_ context.Context, after int64, _ time.Duration) ([]feed.Item, feed.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return nil, feed.Position{}, errDown
	case s.compacted || after < s.oldest || after > s.revision:
		s.seenEra = s.era
		return nil, feed.Position{}, feed.ErrCompacted
	}
	s.seenEra = s.era
	var changed []feed.Item
	for _, i := range s.history {
		if i.Revision > after {
			changed = append(changed, i)
		}
	}
	if s.maxChanges > 0 && len(changed) > s.maxChanges {
		return nil, feed.Position{}, feed.ErrTooLong
	}
	return changed, feed.At(s.era, s.revision), nil
}

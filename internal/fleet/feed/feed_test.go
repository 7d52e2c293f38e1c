package feed_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/stats"
)

// store is a Source whose content the test changes.
type store struct {
	mu       sync.Mutex
	items    map[string]feed.Item
	history  []feed.Item
	revision int64
	down     bool
	forgot   bool
	calls    int
}

func (s *store) write(key, value string) { s.mark(key, value, "") }

func (s *store) mark(key, value, mark string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := feed.Item{Key: key, Value: []byte(value), Revision: s.revision, Deleted: value == "", Fingerprint: mark}
	s.history = append(s.history, i)
	if i.Deleted {
		delete(s.items, key)
		return
	}
	s.items[key] = i
}

func (s *store) set(down, forgot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.forgot = down, forgot
}

var errDown = errors.New("down")

func (s *store) List(context.Context) ([]feed.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, errDown
	}
	var all []feed.Item
	for _, i := range s.items {
		all = append(all, i)
	}
	s.forgot = false
	return all, s.revision, nil
}

func (s *store) Watch(_ context.Context, after int64, _ time.Duration) ([]feed.Item, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.down:
		return nil, 0, errDown
	case s.forgot:
		return nil, 0, feed.ErrCompacted
	}
	var news []feed.Item
	for _, i := range s.history {
		if i.Revision > after {
			news = append(news, i)
		}
	}
	return news, s.revision, nil
}

// sink keeps the values that were taken.
type sink struct {
	mu      sync.Mutex
	values  map[string]string
	trouble time.Time
}

func (s *sink) Apply(_ time.Time, items []feed.Item, _ bool, trouble time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
	for _, i := range items {
		if i.Deleted {
			delete(s.values, i.Key)
			continue
		}
		s.values[i.Key] = string(i.Value)
	}
}

func (s *sink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// neighbour is another host, or none.
type neighbour struct {
	feed  *feed.Feed
	guide bool
}

func (n *neighbour) HasReader() bool { return n.guide }
func (n *neighbour) HasLive() bool   { return n.feed != nil }
func (n *neighbour) FetchUpdate(_ context.Context, after int64, whole bool) (feed.Update, error) {
	told, ok := n.feed.UpdateSince(time.Now(), after, whole)
	if !ok {
		return feed.Update{}, errors.New("nothing known")
	}
	return told, nil
}

// successor is a guide that another host takes the place of.
type successor struct {
	atomic.Pointer[feed.Feed]
}

func (s *successor) HasReader() bool { return true }
func (s *successor) HasLive() bool   { return true }
func (s *successor) FetchUpdate(ctx context.Context, after int64, whole bool) (feed.Update, error) {
	n := neighbour{feed: s.Load()}
	return n.FetchUpdate(ctx, after, whole)
}

type reader struct {
	feed.Feed
	sink sink
}

func follow(ctx context.Context, source feed.Source, n feed.Peers) *reader {
	r := &reader{sink: sink{values: map[string]string{}}}
	r.Reset(source, n, &r.sink, slog.New(slog.DiscardHandler), &stats.Registry{})
	go r.Run(ctx)
	return r
}

func TestFollowsChangesThroughOutagesAndLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		s.write("a", "1")
		r := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, "1", r.sink.get("a"))

		s.write("a", "2")
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "2", r.sink.get("a"))

		s.set(true, false)
		time.Sleep(10 * time.Second)
		s.write("a", "3")
		s.set(false, false)
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "3", r.sink.get("a"))

		s.write("b", "1")
		time.Sleep(1100 * time.Millisecond)
		s.set(false, true)
		s.write("b", "")
		s.write("a", "4")
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "4", r.sink.get("a"))
		assert.Empty(t, r.sink.get("b"), "what the listing lacks is gone")
	})
}

func TestHostWithoutTheStoreStartsFromAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		s.write("a", "1")
		other := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		cut := &store{items: map[string]feed.Item{}, down: true}
		r := follow(ctx, cut, &neighbour{feed: &other.Feed})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, "1", r.sink.get("a"))

		s.write("a", "2")
		s.write("b", "1")
		s.write("b", "")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, "2", r.sink.get("a"))
		assert.Empty(t, r.sink.get("b"))
		assert.True(t, r.sink.trouble.IsZero(), "the store has no trouble with the other host")
	})
}

func TestGuidedHostsMakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		guide := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		mine := &store{items: map[string]feed.Item{}}
		r := follow(ctx, mine, &neighbour{feed: &guide.Feed, guide: true})
		for n := range 30 {
			s.write("a", time.Duration(n).String())
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, time.Duration(29).String(), r.sink.get("a"))
		assert.LessOrEqual(t, mine.calls, 1, "the first listing")
	})
}

func TestHeartbeatsAreNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		s.mark("a", "beat 1", "ready")
		s.mark("b", "beat 1", "ready")
		r := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		s.mark("a", "beat 2", "ready")
		s.mark("b", "beat 2", "leaving")
		time.Sleep(1100 * time.Millisecond)
		told, ok := r.UpdateSince(time.Now(), 2, false)
		assert.True(t, ok)
		assert.Equal(t, int64(4), told.Revision)
		assert.Len(t, told.Items, 1)
		assert.Equal(t, "b", told.Items[0].Key)
		whole, _ := r.UpdateSince(time.Now(), 0, true)
		assert.Len(t, whole.Items, 2)
	})
}

// TestGuideThatHasJustReadEverythingTellsWhatIsGone has a host follow a guide that is
// replaced by one that started after an item had vanished, and never saw it.
func TestGuideThatHasJustReadEverythingTellsWhatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		s.write("a", "1")
		s.write("b", "1")
		before := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		guide := &successor{}
		guide.Store(&before.Feed)
		r := follow(ctx, s, guide)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, "1", r.sink.get("b"))

		s.write("b", "")
		s.write("a", "2")
		after := follow(ctx, s, &neighbour{})
		time.Sleep(time.Millisecond)
		guide.Store(&after.Feed)
		time.Sleep(3 * time.Second)
		assert.Equal(t, "2", r.sink.get("a"))
		assert.Empty(t, r.sink.get("b"))
	})
}

// TestHostThatTheStoreTurnsAwayTellsNoTroubleOfOthers has a host that the store does not
// serve follow one that it does, and a third one follow it: an item that vanishes is
// gone for the third one at once, not kept as after trouble of the store.
func TestHostThatTheStoreTurnsAwayTellsNoTroubleOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{items: map[string]feed.Item{}}
		s.write("a", "1")
		s.write("b", "1")
		well := follow(ctx, s, &neighbour{})
		time.Sleep(10 * time.Millisecond)
		turned := follow(ctx, &store{items: map[string]feed.Item{}, down: true}, &neighbour{feed: &well.Feed})
		time.Sleep(3 * time.Second)
		r := follow(ctx, &store{items: map[string]feed.Item{}, down: true}, &neighbour{feed: &turned.Feed, guide: true})
		time.Sleep(3 * time.Second)
		assert.Equal(t, "1", r.sink.get("b"))

		s.write("b", "")
		time.Sleep(3 * time.Second)
		assert.Empty(t, r.sink.get("b"))
		assert.True(t, r.sink.trouble.IsZero(), "the store had no trouble for the host that read it")
	})
}

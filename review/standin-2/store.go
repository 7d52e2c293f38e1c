//go:build review2

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
	// maxPageItems is the number of items on a page of a range.
	maxPageItems = 500
	// maxWatchWait is the longest time that a watch waits.
	maxWatchWait = 30 * time.Second
	// leaseCheckInterval is how often expired leases are removed.
	leaseCheckInterval = 50 * time.Millisecond
)

// item is an item of the store, or the tombstone of one.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`

	at time.Time
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the store of the platform. It implements http.Handler.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	revision int64
	// forgotten is the revision of the last change that is not in the history any more.
	forgotten int64
	changed   chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, leases: map[int64]*lease{}, revision: 1, changed: make(chan struct{})}
}

// run removes expired leases and old history until stop is closed.
func (s *store) run(stop <-chan struct{}) {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-stop:
			return
		}
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
			s.forgotten = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller must hold s.mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

// put writes an item. The caller must hold s.mu.
func (s *store) put(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.record(i)
}

// remove deletes an item, if it exists. The caller must hold s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a value as the operator or a backend does, and returns the number of its bytes.
func (s *store) Put(key string, value any) int {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // The values of this program can be encoded.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, text, 0)
	return len(text)
}

// Remove deletes an item as the operator or a backend does.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.serveTransaction(w, r)
	case r.URL.Path == "/v1/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.serveKeep(w, id)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPageItems
	if more {
		items = items[:maxPageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, _ := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	timeout := time.After(min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	for {
		events, revision, changed, known := s.eventsAfter(prefix, after)
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes after a revision, the revision of the store, a channel that is
// closed by the next change, and whether the history has all of these changes.
func (s *store) eventsAfter(prefix string, after int64) ([]item, int64, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	events := []item{}
	for _, i := range s.history[from:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, after >= s.forgotten
}

type transaction struct {
	Expected []item   `json:"expected"`
	Puts     []item   `json:"puts"`
	Remove   []string `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": s.current(t.Expected)})
			return
		}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) current(expected []item) []item {
	items := []item{}
	for _, e := range expected {
		if i, ok := s.items[e.Key]; ok {
			items = append(items, i)
		}
	}
	return items
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(max(1000, request.TTLMs)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

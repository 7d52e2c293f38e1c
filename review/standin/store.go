//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the tombstone of one.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// storeHistory is how long the store keeps its history.
const storeHistory = 20 * time.Second

type event struct {
	item
	at time.Time
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	// compacted is the revision up to which the history is gone.
	compacted int64
	items     map[string]item
	history   []event
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{}
}

// startStore serves a store at an address until the process ends.
func startStore(address string) (*store, error) {
	s := &store{
		address: address, revision: 100, items: map[string]item{}, leases: map[int64]*storeLease{}, nextLease: 77000,
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleKey)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.handleLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.handleLeaseEnd)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	go s.expire()
	return s, nil
}

// put writes a value as the operator or a backend does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, text, 0)
}

func (s *store) putLocked(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, event{i, time.Now()})
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed.
func (s *store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{i, revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageSize
	if more {
		found = found[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "store_revision": revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.compacted {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item `json:"expected"`
		Puts     []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := []item{}
	holds := true
	for _, e := range t.Expected {
		i := s.items[e.Key]
		holds = holds && i.Revision == e.Revision
		now = append(now, i)
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.removeLocked(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	q.TTLMs = min(max(q.TTLMs, 1000), 600_000)
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": q.TTLMs})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{})
}

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

// item is an item of the store, or the tombstone of one that was removed.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// content is all that the store holds.
type content struct {
	items     map[string]item
	history   []item
	revision  int64
	leases    map[int64]lease
	lastLease int64
}

// copyOf returns a copy of the content. The leases of the copy start anew when it is used.
func (c content) copyOf() content {
	d := content{items: map[string]item{}, leases: map[int64]lease{}, revision: c.revision, lastLease: c.lastLease}
	for k, i := range c.items {
		d.items[k] = i
	}
	for k, l := range c.leases {
		d.leases[k] = l
	}
	d.history = append(d.history, c.history...)
	return d
}

// datedCopy is a copy of the content with the time at which it was made.
type datedCopy struct {
	at time.Time
	content
}

// copyInterval is how often the store copies its content, and copyRetention how long it
// keeps a copy.
const (
	copyInterval  = 250 * time.Millisecond
	copyRetention = 15 * time.Second
	pageItems     = 500
)

// store is a stand-in for the platform's store. It loses nothing that it has acknowledged,
// except in a return from a copy.
type store struct {
	address string
	server  *http.Server

	mu sync.Mutex
	content
	era     int64
	away    bool
	copies  []datedCopy
	changed chan struct{}
	calls   map[string]int
}

// newStore starts a store at an address.
func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), era: 1, changed: make(chan struct{}), calls: map[string]int{},
		content: content{items: map[string]item{}, leases: map[int64]lease{}, revision: 400, lastLease: 77000},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.handleKey)
	mux.HandleFunc("GET /v1/kv-range", s.handleRange)
	mux.HandleFunc("GET /v1/kv-watch", s.handleWatch)
	mux.HandleFunc("POST /v1/kv-txn", s.handleTxn)
	mux.HandleFunc("POST /v1/kv-lease", s.handleLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.handleKeep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.handleLeaseEnd)
	s.server = &http.Server{Handler: s.answering(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	go s.tick()
	return s, nil
}

// answering counts the calls, adds the era to each answer, and answers 503 while the store is
// away.
func (s *store) answering(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		s.calls[r.URL.Path]++
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(4 * time.Millisecond)
		next.ServeHTTP(w, r)
	})
}

// tick ends leases and copies the content.
func (s *store) tick() {
	for now := range time.Tick(copyInterval) {
		s.mu.Lock()
		if !s.away {
			for id, l := range s.leases {
				if now.After(l.expiresAt) {
					s.endLease(id)
				}
			}
			s.copies = append(s.copies, datedCopy{now, s.copyOf()})
			for now.Sub(s.copies[0].at) > copyRetention {
				s.copies = s.copies[1:]
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The store is locked.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.write(k, nil, 0)
		}
	}
}

// write writes a value, or removes the key if it is nil. The store is locked.
func (s *store) write(key string, value []byte, leaseID int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: leaseID, Tombstone: value == nil}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	if value == nil {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value as an operator or a backend, and returns its revision, or 0 while the
// store is away.
func (s *store) put(key string, value any) int64 {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	s.write(key, text, 0)
	return s.revision
}

// remove removes a key as an operator or a backend.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok && !s.away {
		s.write(key, nil, 0)
	}
}

// leave takes the store away: it answers 503 and cuts watches.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// returnFromCopy brings the store back with its content of some time before, and returns the
// revisions that it had before and has now.
func (s *store) returnFromCopy(age time.Duration, leftAt time.Time) (before, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.revision
	chosen := s.copies[0]
	for _, c := range s.copies {
		if leftAt.Sub(c.at) >= age {
			chosen = c
		}
	}
	s.content = chosen.copyOf()
	for id, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.era++
	s.away = false
	return before, s.revision
}

// comeBack brings the store back with all that it held.
func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
}

// currentRevision returns the revision of the store.
func (s *store) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{i, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			found = append(found, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	writeJSON(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "store_revision": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(ms, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []item   `json:"expected"`
		Puts     []item   `json:"puts"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range t.Expected {
		if s.items[i.Key].Revision != i.Revision {
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[i.Key]}})
			return
		}
	}
	for _, i := range t.Puts {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[i.Lease]; i.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range t.Puts {
		s.write(i.Key, i.Value, i.Lease)
	}
	for _, k := range t.Remove {
		s.write(k, nil, 0)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) handleLease(w http.ResponseWriter, r *http.Request) {
	var l struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&l)
	ttl := time.Duration(max(1000, l.TTLMs)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]int64{"lease": s.lastLease, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) handleKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.leases[id] = l
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) handleLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, map[string]int64{"lease": id})
}

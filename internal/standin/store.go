package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"fescuerill/internal/schema/platform"
)

// Store stands for the platform's key-value service. It is an http.Handler.
// The zero value is empty.
type Store struct {
	mu       sync.Mutex
	entries  map[string]stored
	leases   map[string]*granted
	revision int
	changed  chan struct{}
	hosts    map[string]platform.ListedHost
	faults   StoreFaults
	calls    map[string]int
}

// StoreFaults says how the store fails.
type StoreFaults struct {
	// Unavailable makes every call fail before it has an effect.
	Unavailable bool
	// LoseReplies makes writes take effect and their answers fail.
	LoseReplies bool
	// Delay is added to each call.
	Delay time.Duration
}

type stored struct {
	platform.Entry
	lease string
}

type granted struct {
	time    time.Duration
	expires time.Time
}

// SetFaults sets how the store fails from now on.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHost sets what the host list says of a host; the empty state removes it.
func (s *Store) SetHost(id, state, peerAddress string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts == nil {
		s.hosts = map[string]platform.ListedHost{}
	}
	s.hosts[id] = platform.ListedHost{ID: id, State: state, PeerAddress: &peerAddress}
	if state == "" {
		delete(s.hosts, id)
	}
}

// TakeCallCounts returns the number of calls by kind since the last call of Calls.
func (s *Store) TakeCallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	kind = strings.ToLower(r.Method) + "-" + kind
	s.mu.Lock()
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[kind]++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.LoseReplies && r.Method != http.MethodGet {
		s.mux().ServeHTTP(discard{}, r)
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	s.mux().ServeHTTP(w, r)
}

func (s *Store) mux() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/keys/{key...}", s.get)
	m.HandleFunc("PUT /v1/keys/{key...}", s.put)
	m.HandleFunc("DELETE /v1/keys/{key...}", s.remove)
	m.HandleFunc("GET /v1/list/{key...}", s.list)
	m.HandleFunc("GET /v1/watch/{key...}", s.watch)
	m.HandleFunc("POST /v1/leases", s.grant)
	m.HandleFunc("PUT /v1/leases/{id}", s.renew)
	m.HandleFunc("DELETE /v1/leases/{id}", s.revoke)
	m.HandleFunc("GET /v1/hosts", s.listHosts)
	return m
}

// expire deletes what went with lapsed leases.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *Store) drop(lease string) {
	delete(s.leases, lease)
	for key, e := range s.entries {
		if e.lease == lease {
			delete(s.entries, key)
		}
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	e, ok := s.entries[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	WriteJSON(w, http.StatusOK, e.Entry)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	found := []platform.Entry{}
	s.mu.Lock()
	s.expire()
	for key, e := range s.entries {
		if strings.HasPrefix(key, r.PathValue("key")) {
			found = append(found, e.Entry)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	WriteJSON(w, http.StatusOK, found)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.FormValue("after"))
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	end := time.After(max(wait, time.Nanosecond))
	for {
		s.mu.Lock()
		e, ok := s.entries[r.PathValue("key")]
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		if ok && e.Revision > after {
			WriteJSON(w, http.StatusOK, e.Entry)
			return
		}
		select {
		case <-changed:
		case <-end:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var p platform.PutRequest
	if !read(w, r, &p) {
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	old := s.entries[key]
	if p.IfRevision != nil && *p.IfRevision != old.Revision {
		WriteJSON(w, http.StatusConflict, old.Entry)
		return
	}
	e := stored{}
	if p.Lease != nil {
		if s.leases[*p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		e.lease = *p.Lease
	}
	s.revision++
	e.Entry = platform.Entry{Key: key, Value: p.Value, Revision: s.revision}
	if s.entries == nil {
		s.entries = map[string]stored{}
	}
	s.entries[key] = e
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	WriteJSON(w, http.StatusOK, e.Entry)
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delete(s.entries, r.PathValue("key"))
	s.mu.Unlock()
	WriteJSON(w, http.StatusOK, struct{}{})
}

// KeyCount returns the number of keys in the store.
func (s *Store) KeyCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var l platform.Lease
	if !read(w, r, &l) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	l.ID = "lease-" + strconv.Itoa(s.revision)
	d := time.Duration(l.TimeMs) * time.Millisecond
	if s.leases == nil {
		s.leases = map[string]*granted{}
	}
	s.leases[l.ID] = &granted{d, time.Now().Add(d)}
	WriteJSON(w, http.StatusOK, l)
}

func (s *Store) renew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[r.PathValue("id")]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.time)
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(r.PathValue("id"))
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) listHosts(w http.ResponseWriter, _ *http.Request) {
	listed := []platform.ListedHost{}
	s.mu.Lock()
	for _, h := range s.hosts {
		listed = append(listed, h)
	}
	s.mu.Unlock()
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	WriteJSON(w, http.StatusOK, listed)
}

func read(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, 4<<20)).Decode(v)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
	return err == nil
}

// WriteJSON writes a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// discard is a ResponseWriter whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

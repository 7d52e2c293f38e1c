//go:build review

package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	recordSize = 16
)

// backend is a stand-in for a backend. It runs a request only if the request names it.
type backend struct {
	id, service, zone, address string
	slots                      int
	records                    int
	store                      *store
	journal                    *journal
	server                     *http.Server
	work                       time.Duration
	born                       int64
	slot                       chan struct{}
	waiting                    atomic.Int64
	sequence                   atomic.Int64
	// respond replaces the answer of a request that has run, if it is set.
	respond func(b *backend, w http.ResponseWriter, r *http.Request, body []byte)

	mu      sync.Mutex
	state   string
	leaving bool
	stopped bool
	cancel  context.CancelFunc
}

// start starts the backend at an IP address with a free port and registers it.
func (b *backend) start(ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	b.address, b.state, b.born = l.Addr().String(), "ready", time.Now().UnixMilli()
	b.slot = make(chan struct{}, b.slots)
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				b.beat()
			case <-ctx.Done():
				return
			}
		}
	}()
	return nil
}

// beat writes the entry of the backend and returns its revision, or 0 if the store did not
// take it.
func (b *backend) beat() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0
	}
	return b.writeEntry(b.born)
}

// hasJustWritten returns a condition that holds from the next heartbeat on.
func (b *backend) hasJustWritten() func() bool {
	last := b.sequence.Load()
	return func() bool { return b.sequence.Load() != last }
}

// writeOddEntry writes the entry of the backend with another time of its start, as another
// writer.
func (b *backend) writeOddEntry(born int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.writeEntry(born)
}

// writeEntry writes the entry with a time of the start. The backend is locked.
func (b *backend) writeEntry(born int64) int64 {
	return b.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "concurrency": b.slots,
		"state": b.state, "warmup_left_ms": 0, "sequence": b.sequence.Add(1), "born": born,
	})
}

// drain reports the backend as draining and returns the revision of that report.
func (b *backend) drain() int64 {
	b.mu.Lock()
	b.state, b.leaving = "draining", true
	b.mu.Unlock()
	return b.beat()
}

// end ends the backend and removes its entry.
func (b *backend) end() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.cancel()
	b.store.remove("servers/" + b.id)
	_ = b.server.Close()
}

// stamp returns the message authentication code of an answer of the backend.
func (b *backend) stamp(requestID string) string {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, b.id, "/", requestID)
	return fmt.Sprintf("%s.%s.%x", b.id, requestID, h.Sum64())
}

// part returns the records that the backend has for a request. All backends of a service
// have the same.
func (b *backend) part(requestID string) []byte {
	var out []byte
	for n := range b.records {
		h := fnv.New64a()
		_, _ = fmt.Fprint(h, b.service, "/", requestID, "/", n)
		out = binary.BigEndian.AppendUint64(out, h.Sum64())
		out = binary.BigEndian.AppendUint64(out, uint64(n))
	}
	return out
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	leaving := b.leaving
	b.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("X-Backend-Load", fmt.Sprintf("%d,%d,%d", len(b.slot), b.waiting.Load(), b.slots))
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", b.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	b.waiting.Add(1)
	select {
	case b.slot <- struct{}{}:
		b.waiting.Add(-1)
	case <-time.After(time.Duration(ms) * time.Millisecond):
		b.waiting.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slot }()
	b.journal.ran(id, b, r.Method, r.RequestURI, body)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Stamp", b.stamp(id))
	if b.respond != nil {
		b.respond(b, w, r, body)
		return
	}
	answer := []byte(fmt.Sprintf("card of %s for %s", b.service, id))
	if b.records > 0 {
		answer = b.part(id)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

//go:build review2

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	recordSize        = 16
)

// entry is what a backend says of itself in the store.
type entry struct {
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Concurrency  int    `json:"concurrency"`
	State        string `json:"state"`
	WarmupLeftMs int64  `json:"warmup_left_ms"`
	Sequence     int64  `json:"sequence"`
	Born         int64  `json:"born"`
}

// arrival is a request that a backend has received.
type arrival struct {
	backend, id string
	at          time.Time
	born        int64
	ran         bool
}

// backend is a stand-in for a backend. It implements http.Handler.
type backend struct {
	id, service, zone, ip string
	concurrency, queue    int
	work                  time.Duration
	bodySize              int
	store                 *store
	record                *record

	mu        sync.Mutex
	born      int64
	sequence  int64
	state     string
	coldUntil time.Time
	waiting   int
	slots     chan struct{}
	arrivals  []arrival
	server    *http.Server
	address   string
	stop      chan struct{}
}

// start starts a boot of the backend at its address, which is chosen the first time, and
// registers it. born is the Unix time in milliseconds of its start by its own clock.
func (b *backend) start(born int64, cold time.Duration) error {
	address := b.address
	if address == "" {
		address = net.JoinHostPort(b.ip, "0")
	}
	l, err := listen(address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.address, b.born, b.sequence, b.state = l.Addr().String(), born, 0, "ready"
	b.coldUntil = time.Time{}
	if cold > 0 {
		b.coldUntil = time.Now().Add(cold)
	}
	b.waiting = 0
	b.slots = make(chan struct{}, b.concurrency)
	b.stop = make(chan struct{})
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	server, stop := b.server, b.stop
	b.mu.Unlock()
	b.register()
	go func() { _ = server.Serve(l) }()
	go b.heartbeat(stop)
	return nil
}

// crash ends the boot without a word to the store, which removes its entry after three
// heartbeat intervals unless the backend has started again.
func (b *backend) crash() {
	b.mu.Lock()
	server, stop, born := b.server, b.stop, b.born
	b.mu.Unlock()
	close(stop)
	_ = server.Close()
	time.AfterFunc(3*heartbeatInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.born == born {
			b.store.Remove("servers/" + b.id)
		}
	})
}

func (b *backend) heartbeat(stop <-chan struct{}) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.register()
		case <-stop:
			return
		}
	}
}

// register writes the entry of the backend.
func (b *backend) register() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.store.Put("servers/"+b.id, entry{
		Service: b.service, Address: b.address, Zone: b.zone, Version: "v1", Concurrency: b.concurrency, State: b.state,
		WarmupLeftMs: max(0, time.Until(b.coldUntil)).Milliseconds(), Sequence: b.sequence, Born: b.born,
	})
}

// warmupLeft returns how long the backend stays cold.
func (b *backend) warmupLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.coldUntil))
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", b.id)
		w.Header().Set("X-Warmup-Ms", strconv.FormatInt(b.warmupLeft().Milliseconds(), 10))
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != b.id:
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	index, slots := b.arrive(id)
	if !b.enter(ctx, slots) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave(slots)
	b.mu.Lock()
	b.arrivals[index].ran = true
	b.mu.Unlock()
	mac := fmt.Sprintf("%s.%016x", b.id, rand.Uint64())
	w.Header().Set("X-Backend-Load", b.load())
	select {
	case <-time.After(b.workTime()):
	case <-ctx.Done():
		w.Header().Set("X-Response-Stamp", mac)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	body := make([]byte, b.bodySize/recordSize*recordSize)
	for i := range body {
		body[i] = byte(rand.UintN(256))
	}
	w.Header().Set("X-Response-Stamp", mac)
	_, _ = w.Write(body)
}

// arrive records a request and returns its index and the slots of the boot.
func (b *backend) arrive(id string) (int, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{backend: b.id, id: id, at: time.Now(), born: b.born})
	return len(b.arrivals) - 1, b.slots
}

// enter waits for a slot and reports whether there was one in time.
func (b *backend) enter(ctx context.Context, slots chan struct{}) bool {
	b.mu.Lock()
	full := b.waiting >= b.queue
	if !full {
		b.waiting++
	}
	b.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// load returns the numbers of running and waiting requests and of slots.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(b.slots), b.waiting, b.concurrency)
}

func (b *backend) leave(slots chan struct{}) { <-slots }

// workTime returns the time that a request takes: a cold backend takes longer.
func (b *backend) workTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	const coldFactor = 1.6
	d := time.Duration(float64(b.work) * (0.7 + 0.6*rand.Float64()))
	if time.Now().Before(b.coldUntil) {
		d = time.Duration(coldFactor * float64(d))
	}
	return d
}

// between returns the requests that the backend has received between two times.
func (b *backend) between(from, to time.Time) []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	var between []arrival
	for _, a := range b.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			between = append(between, a)
		}
	}
	return between
}

//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the interval at which a backend writes its entry to the store.
const heartbeat = 1200 * time.Millisecond

// backend is a stand-in for a backend. It serves one request at a time on a connection,
// runs as many requests as it has slots, queues a few more, and turns away the rest with
// 503 and X-Not-Executed.
type backend struct {
	id, service, zone, address string
	slots, queue               int
	// work returns how long a request runs.
	work func() time.Duration
	// extraLate reports whether a second copy of an answer is sent late: where the next
	// answer on the connection is expected. Nil stands for never.
	extraLate func() bool
	// shed reports whether a request is turned away although there is room. Nil stands for
	// never.
	shed func() bool
	// spoil replaces an answer by a wrong one and reports whether it did. Nil stands for
	// never.
	spoil func(a answer) (answer, bool)
	rec   *record

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{}
	sequence int64
	born     int64
	store    *store
	state    string
	listener net.Listener
}

// start listens and registers the backend in the store.
func (b *backend) start(s *store) error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.listener, b.store, b.state, b.born = l, s, "ready", time.Now().UnixMilli()
	b.free = make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	b.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			b.beat()
		}
	}()
	return nil
}

// setExtraLate sets extraLate.
func (b *backend) setExtraLate(f func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extraLate = f
}

func (b *backend) sendsExtra() bool {
	b.mu.Lock()
	f := b.extraLate
	b.mu.Unlock()
	return f != nil && f()
}

// setShed sets shed.
func (b *backend) setShed(f func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shed = f
}

// setSpoil sets spoil.
func (b *backend) setSpoil(f func(a answer) (answer, bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spoil = f
}

// spoiled returns the answer as it is sent.
func (b *backend) spoiled(a answer) (answer, bool) {
	b.mu.Lock()
	f := b.spoil
	b.mu.Unlock()
	if f == nil {
		return a, false
	}
	return f(a)
}

func (b *backend) sheds() bool {
	b.mu.Lock()
	f := b.shed
	b.mu.Unlock()
	return f != nil && f()
}

// beat writes the entry of the backend.
func (b *backend) beat() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "concurrency": b.slots, "state": b.state,
		"warmup_left_ms": 0, "sequence": b.sequence, "born": b.born,
	}
	b.mu.Unlock()
	b.store.put("servers/"+b.id, entry)
}

// answer is an answer of the backend.
type answer struct {
	status int
	header string
	body   []byte
}

func (a answer) bytes(id string) []byte {
	var t bytes.Buffer
	fmt.Fprintf(&t, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n", a.status, http.StatusText(a.status), id, a.header, len(a.body))
	t.Write(a.body)
	return t.Bytes()
}

// serve serves the requests on a connection.
func (b *backend) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var late []byte
	var lateID string
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if len(late) > 0 {
			b.rec.write("backend %s sends the second copy of its answer to %s late, where the answer to %s is expected", b.id, lateID, id)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		a, ok := b.handle(c, in, r, id, body)
		if !ok {
			return
		}
		text := a.bytes(id)
		if _, err := c.Write(text); err != nil {
			return
		}
		if b.sendsExtra() {
			late, lateID = text, id
		}
	}
}

// handle answers a request. It returns false if the caller closed the connection before
// there was an answer: the request is dropped.
func (b *backend) handle(c net.Conn, in *bufio.Reader, r *http.Request, id string, body []byte) (answer, bool) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		return answer{status: http.StatusMisdirectedRequest, header: "X-Instance-Id: " + b.id + "\r\n"}, true
	}
	if r.URL.Path == "/healthz" {
		return answer{status: http.StatusOK, header: "X-Instance-Id: " + b.id + "\r\n"}, true
	}
	limit := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	deadline := time.Now().Add(limit)
	left := watchClose(c, in)
	defer left.stop()
	if b.sheds() || !b.enter() {
		b.rec.refused(id, b.id)
		return answer{status: http.StatusServiceUnavailable, header: "X-Not-Executed: 1\r\n" + b.load()}, true
	}
	select {
	case <-b.free:
	case <-left.closed:
		b.leaveQueue()
		return answer{}, false
	case <-time.After(time.Until(deadline)):
		b.leaveQueue()
		b.rec.refused(id, b.id)
		return answer{status: http.StatusServiceUnavailable, header: "X-Not-Executed: 1\r\n" + b.load()}, true
	}
	b.leaveQueue()
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
		b.free <- struct{}{}
	}()
	mac := b.rec.ran(id, b.id, r.Method, r.RequestURI, body)
	select {
	case <-time.After(min(b.work(), time.Until(deadline))):
	case <-left.closed:
		b.rec.write("backend %s drops %s: its connection closed", b.id, id)
		return answer{}, false
	}
	if !time.Now().Before(deadline) {
		return answer{status: http.StatusGatewayTimeout, header: "X-Response-Stamp: " + mac + "\r\n"}, true
	}
	a := answer{status: http.StatusOK, header: "X-Response-Stamp: " + mac + "\r\n" + b.load(), body: []byte("done " + id + " by " + b.id)}
	b.rec.answered(id, mac, a.body)
	a, spoiled := b.spoiled(a)
	if spoiled {
		b.rec.write("backend %s spoils its answer to %s", b.id, id)
	}
	return a, true
}

// enter reports whether there is room for another request, running or in the queue.
func (b *backend) enter() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running+b.waiting >= b.slots+b.queue {
		return false
	}
	b.waiting++
	return true
}

func (b *backend) leaveQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("X-Backend-Load: %d,%d,%d\r\n", b.running, b.waiting, b.slots)
}

// closeWatch watches a connection for its end while a request runs.
type closeWatch struct {
	conn   net.Conn
	closed chan struct{}
	done   chan struct{}
}

// watchClose starts to watch a connection. Nothing else may read from it until stop.
func watchClose(c net.Conn, in *bufio.Reader) *closeWatch {
	w := &closeWatch{conn: c, closed: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		_, err := in.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			close(w.closed)
		}
	}()
	return w
}

// stop ends the watch.
func (w *closeWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}

package exchange_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// dialect marks requests with an ID and the time left.
type dialect struct{}

func (dialect) SetRequestHeader(h http.Header, _ *exchange.Request, t exchange.Target, left time.Duration) {
	h.Set("Target", t.ID)
	h.Set("Left", left.String())
}

func (dialect) ParseReplyHeader(h http.Header, r *exchange.Reply) {
	r.MAC = h.Get("Stamp")
	switch {
	case h.Get("Not-Run") != "":
		r.Outcome, r.Reason, r.Shed = search.NotRun, "shed", true
	case r.Status != http.StatusOK || r.MAC == "":
		r.Outcome, r.Reason = search.Failed, "failed"
	}
}

func (dialect) ReplyRequestID(h http.Header) string { return h.Get("Id") }

// target answers each request on a connection with the next of its texts and
// counts what it took.
type target struct {
	listener net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	closed   atomic.Int64
}

// listen starts a target. An answer of "" closes the connection, "RST" resets
// it, and "..." says nothing.
func listen(t *testing.T, answers ...string) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &target{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn, answers []string) {
	defer s.closed.Add(1)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := answers[min(int(s.requests.Add(1)), len(answers))-1]
		switch text {
		case "":
			_ = c.Close()
			return
		case "RST":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		case "...":
			continue
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
	}
}

func (s *target) named() exchange.Target {
	return exchange.Target{ID: "t", Address: s.listener.Addr().String()}
}

const (
	whole   = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody"
	crossed = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: x\r\nContent-Length: 5\r\n\r\nwrong"
)

func newPool() *exchange.Pool {
	var p exchange.Pool
	p.Reset(exchange.DialTCP, dialect{}, func() {})
	return &p
}

func ask(id string) *exchange.Request {
	return &exchange.Request{ID: id, Method: http.MethodGet, URI: "/a//b/../c?d=%20e", Host: "h", Header: http.Header{"Id": {id}}}
}

func second() time.Duration { return time.Second }

func TestReadsAnswersStrictly(t *testing.T) {
	tests := map[string]struct {
		text    string
		outcome search.Outcome
		reason  string
		again   bool // the connection is used again
	}{
		"whole":              {whole, search.Good, "", true},
		"no length":          {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n\r\nbody", search.Unknown, "silent", false},
		"cut short":          {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 9\r\n\r\nbody", search.Unknown, "silent", false},
		"not HTTP":           {"garbage\r\n\r\n", search.Unknown, "bad-format", false},
		"no answer":          {"", search.Unknown, "connection-broken", false},
		"reset":              {"RST", search.Unknown, "connection-broken", false},
		"silent":             {"...", search.Unknown, "silent", false},
		"another's":          {crossed, search.Unknown, "silent", false},
		"another's, then it": {crossed + whole, search.Good, "", false},
		"it, then another's": {whole + crossed, search.Good, "", false},
		"early hints":        {"HTTP/1.1 103 Early Hints\r\n\r\n" + whole, search.Good, "", true},
		"refusal":            {"HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", search.NotRun, "shed", true},
		"failure":            {"HTTP/1.1 500 Broken\r\nId: ID\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", search.Failed, "failed", true},
		"leaving":            {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", search.Good, "", false},
		"huge":               {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 99999999999\r\n\r\n", search.Unknown, "answer-too-long", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := listen(t, test.text, whole)
			p := newPool()
			got := p.Do(t.Context(), s.named(), ask("1"), func() time.Duration { return 50 * time.Millisecond })
			assert.Equal(t, test.outcome, got.Outcome, got.Err)
			assert.Equal(t, test.reason, got.Reason, got.Err)
			if test.outcome == search.Good {
				assert.Equal(t, "body", string(got.Body))
			}
			time.Sleep(20 * time.Millisecond)
			next := p.Do(t.Context(), s.named(), ask("2"), second)
			assert.Equal(t, search.Good, next.Outcome, next.Err)
			assert.Equal(t, "body", string(next.Body), "no bytes of the first answer are left")
			assert.Equal(t, test.again, s.conns.Load() == 1)
		})
	}
}

func TestPassesThePathOnUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	got := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		line, _ := bufio.NewReader(c).ReadString('\n')
		got <- line
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	newPool().Do(ctx, exchange.Target{ID: "t", Address: l.Addr().String()}, ask("1"), second)
	assert.Equal(t, "GET /a//b/../c?d=%20e HTTP/1.1\r\n", <-got)
}

func TestStatesTheTimeLeftAfterTheWaitForAConnection(t *testing.T) {
	s := listen(t, "...")
	p := newPool()
	p.SetMaxConns("t", 1)
	go p.Do(t.Context(), s.named(), ask("1"), func() time.Duration { return 100 * time.Millisecond })
	time.Sleep(30 * time.Millisecond)
	assert.True(t, p.Exhausted("t"))
	asked := time.Now()
	var waited time.Duration
	p.Do(t.Context(), s.named(), ask("2"), func() time.Duration {
		waited = time.Since(asked)
		return 0
	})
	assert.Greater(t, waited, 50*time.Millisecond)
	assert.Equal(t, int64(1), s.requests.Load(), "nothing is sent without time left")
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	s := listen(t, "...")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	got := newPool().Do(ctx, s.named(), ask("1"), second)
	assert.Equal(t, search.Unknown, got.Outcome)
	assert.Eventually(t, func() bool { return s.closed.Load() == 1 }, time.Second, time.Millisecond)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	got := newPool().Do(t.Context(), exchange.Target{ID: "t", Address: address}, ask("1"), second)
	assert.Equal(t, search.NotSent, got.Outcome)
	assert.Equal(t, "connect-refused", got.Reason)
}

// TestRequestThatMayRunOnceGoesOverAConnectionInUse has a target forget connections
// that were idle for a while and reset what comes on them.
func TestRequestThatMayRunOnceGoesOverAConnectionInUse(t *testing.T) {
	const idle = 300 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forget(c, idle)
		}
	}()
	p := newPool()
	a := ask("1")
	to := exchange.Target{ID: "t", Address: l.Addr().String()}
	for range 3 {
		a.NonIdempotent = true
		got := p.Do(t.Context(), to, a, second)
		assert.Equal(t, search.Good, got.Outcome, got.Err)
		time.Sleep(idle + 50*time.Millisecond)
	}
	a.NonIdempotent = false
	got := p.Do(t.Context(), to, a, second)
	assert.Equal(t, search.Unknown, got.Outcome, "others are sent again")
}

// forget answers requests, and resets the connection instead if it was idle.
func forget(c net.Conn, idle time.Duration) {
	in := bufio.NewReader(c)
	for last := time.Now(); ; last = time.Now() {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if time.Since(last) > idle {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", "1"))
	}
}

func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Long\r\nId: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	a := ask("1")
	a.Method, a.Body = http.MethodPost, make([]byte, 32<<20)
	p := newPool()
	got := p.Do(t.Context(), exchange.Target{ID: "t", Address: l.Addr().String()}, a, second)
	assert.Equal(t, search.Failed, got.Outcome, got.Err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.Status)
	assert.False(t, p.Exhausted("t"), "the connection is closed, since it still carries the body")
}

func BenchmarkExchange(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go (&target{}).serve(c, []string{whole})
		}
	}()
	p := newPool()
	t := exchange.Target{ID: "t", Address: l.Addr().String()}
	a := ask("1")
	b.ReportAllocs()
	for b.Loop() {
		if r := p.Do(b.Context(), t, a, second); r.Outcome != search.Good {
			b.Fatal(r.Err)
		}
	}
}

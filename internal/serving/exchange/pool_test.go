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

// testProtocol sends the target ID and the time left, and takes the outcome from the status
// and the fields Stamp and Not-Run of the answer.
type testProtocol struct{}

func (testProtocol) SetRequestHeader(h http.Header, _ *exchange.Request, t exchange.Target, left time.Duration) {
	h.Set("Target", t.ID)
	h.Set("Left", left.String())
}

func (testProtocol) ParseReplyHeader(h http.Header, r *exchange.Reply) {
	r.MAC = h.Get("Stamp")
	switch {
	case h.Get("Not-Run") != "":
		r.Outcome, r.Reason, r.Shed = search.NotRun, "shed", true
	case r.Status != http.StatusOK || r.MAC == "":
		r.Outcome, r.Reason = search.Failed, "failed"
	}
}

func (testProtocol) ReplyRequestID(h http.Header) string { return h.Get("Id") }

// testTarget is a server that returns one of its answers for each request in turn, and
// repeats the last. It counts connections and requests.
type testTarget struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
	closed   atomic.Int64
}

// cutMark is the prefix of an answer after which the connection is closed.
const cutMark = "cut:"

// startTarget starts a target. The answer "" closes the connection, "RST" resets it, and
// "..." leaves the request unanswered, and cutMark closes the connection after the rest.
func startTarget(t *testing.T, answers ...string) *testTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testTarget{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go s.serve(c, answers)
		}
	}()
	return s
}

func (s *testTarget) serve(c net.Conn, answers []string) {
	defer s.closed.Add(1)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			_ = c.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := answers[min(int(s.requests.Add(1)), len(answers))-1]
		switch answer {
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
		answer, cut := strings.CutPrefix(answer, cutMark)
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get("Id")))
		if cut {
			_ = c.Close()
			return
		}
	}
}

func (s *testTarget) target() exchange.Target {
	return exchange.Target{ID: "t", Address: s.listener.Addr().String()}
}

const (
	goodAnswer       = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 4\r\n\r\nbody"
	mismatchedAnswer = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: x\r\nContent-Length: 5\r\n\r\nwrong"
)

func newPool() *exchange.Pool {
	var p exchange.Pool
	p.Reset(exchange.DialTCP, testProtocol{}, func() {}, nil)
	return &p
}

func newRequest(id string) *exchange.Request {
	return &exchange.Request{ID: id, Method: http.MethodGet, URI: "/a//b/../c?d=%20e", Host: "h", Header: http.Header{"Id": {id}}}
}

func oneSecond() time.Duration { return time.Second }

func TestPoolRejectsInvalidAnswers(t *testing.T) {
	tests := map[string]struct {
		answer  string
		outcome search.Outcome
		reason  string
		reused  bool // the second request is sent on the same connection
	}{
		"complete":                  {goodAnswer, search.Good, "", true},
		"no length":                 {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n\r\nbody", search.Unknown, "silent", false},
		"truncated":                 {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 9\r\n\r\nbody", search.Unknown, "silent", false},
		"not HTTP":                  {"garbage\r\n\r\n", search.Unknown, "bad-format", false},
		"HTTP/0":                    {strings.Replace(goodAnswer, "HTTP/1.1", "HTTP/0.1", 1), search.Unknown, "bad-format", false},
		"HTTP/2":                    {strings.Replace(goodAnswer, "HTTP/1.1", "HTTP/2.0", 1), search.Unknown, "bad-format", false},
		"connection closed":         {"", search.Unknown, "connection-broken", false},
		"connection reset":          {"RST", search.Unknown, "connection-broken", false},
		"no answer":                 {"...", search.Unknown, "silent", false},
		"mismatched":                {mismatchedAnswer, search.Unknown, "silent", false},
		"mismatched, then matching": {mismatchedAnswer + goodAnswer, search.Good, "", false},
		"matching, then mismatched": {goodAnswer + mismatchedAnswer, search.Good, "", false},
		"early hints":               {"HTTP/1.1 103 Early Hints\r\n\r\n" + goodAnswer, search.Good, "", true},
		"refusal":                   {"HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", search.NotRun, "shed", true},
		"failure":                   {"HTTP/1.1 500 Broken\r\nId: ID\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", search.Failed, "failed", true},
		"Connection: close":         {"HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", search.Good, "", false},
		"body too long":             {"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 99999999999\r\n\r\n", search.Unknown, "answer-too-long", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startTarget(t, test.answer, goodAnswer)
			p := newPool()
			got := p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 50 * time.Millisecond })
			assert.Equal(t, test.outcome, got.Outcome, got.Err)
			assert.Equal(t, test.reason, got.Reason, got.Err)
			if test.outcome == search.Good {
				assert.Equal(t, "body", string(got.Body))
			}
			time.Sleep(20 * time.Millisecond)
			next := p.Do(t.Context(), s.target(), newRequest("2"), oneSecond)
			assert.Equal(t, search.Good, next.Outcome, next.Err)
			assert.Equal(t, "body", string(next.Body), "the first answer must not leave bytes on the connection")
			assert.Equal(t, test.reused, s.accepted.Load() == 1)
		})
	}
}

func TestPoolSendsPathUnchanged(t *testing.T) {
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
	newPool().Do(ctx, exchange.Target{ID: "t", Address: l.Addr().String()}, newRequest("1"), oneSecond)
	assert.Equal(t, "GET /a//b/../c?d=%20e HTTP/1.1\r\n", <-got)
}

func TestPoolComputesTimeLeftAfterWaitingForConnection(t *testing.T) {
	s := startTarget(t, "...")
	p := newPool()
	p.SetMaxConns("t", 1)
	go p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 100 * time.Millisecond })
	time.Sleep(30 * time.Millisecond)
	assert.True(t, p.Exhausted("t"))
	start := time.Now()
	var calledAfter []time.Duration
	p.Do(t.Context(), s.target(), newRequest("2"), func() time.Duration {
		calledAfter = append(calledAfter, time.Since(start))
		return time.Second - time.Duration(len(calledAfter)-1)*time.Second
	})
	if assert.Len(t, calledAfter, 2, "on entry and when the connection is available") {
		assert.Greater(t, calledAfter[1], 50*time.Millisecond)
	}
	assert.Equal(t, int64(1), s.requests.Load(), "no request is sent once its time has run out")
}

// TestRejectWaitingEndsRequestsThatWait lets requests wait for the only connection to a target
// that then wants no more. They must end at once, as not sent; the one in flight goes on.
func TestRejectWaitingEndsRequestsThatWait(t *testing.T) {
	s := startTarget(t, "...", goodAnswer)
	p := newPool()
	p.SetMaxConns("t", 1)
	inFlight := make(chan exchange.Reply, 1)
	go func() {
		inFlight <- p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 300 * time.Millisecond })
	}()
	require.Eventually(t, func() bool { return s.requests.Load() == 1 }, time.Second, time.Millisecond)
	waiting := make(chan exchange.Reply, 5)
	for range cap(waiting) {
		go func() { waiting <- p.Do(t.Context(), s.target(), newRequest("2"), oneSecond) }()
	}
	time.Sleep(50 * time.Millisecond)
	rejected := time.Now()
	p.RejectWaiting("t")
	p.RejectWaiting("unknown")
	for range cap(waiting) {
		r := <-waiting
		assert.Equal(t, search.NotSent, r.Outcome)
		assert.Equal(t, "target-closed", r.Reason)
	}
	assert.Less(t, time.Since(rejected), 100*time.Millisecond)
	assert.Equal(t, search.Unknown, (<-inFlight).Outcome)
	assert.Equal(t, search.Good, p.Do(t.Context(), s.target(), newRequest("3"), oneSecond).Outcome, "the queue is in order")
	assert.Equal(t, int64(2), s.requests.Load())
}

// TestPoolSendsNewestWaitingRequest lets three requests wait for the only connection. The
// first of them must not be sent, because its time passes while it waits, and the last one
// goes before the second.
func TestPoolSendsNewestWaitingRequest(t *testing.T) {
	s := startTarget(t, "...", goodAnswer)
	p := newPool()
	p.SetMaxConns("t", 1)
	left := func(d time.Duration) func() time.Duration {
		deadline := time.Now().Add(d)
		return func() time.Duration { return time.Until(deadline) }
	}
	go p.Do(t.Context(), s.target(), newRequest("1"), left(100*time.Millisecond))
	require.Eventually(t, func() bool { return s.requests.Load() == 1 }, time.Second, time.Millisecond)
	expired := make(chan exchange.Reply, 1)
	go func() { expired <- p.Do(t.Context(), s.target(), newRequest("2"), left(20*time.Millisecond)) }()
	ended := make(chan string, 2)
	for _, id := range []string{"3", "4"} {
		go func() {
			p.Do(t.Context(), s.target(), newRequest(id), left(5*time.Second))
			ended <- id
		}()
		time.Sleep(30 * time.Millisecond)
	}
	got := <-expired
	assert.Equal(t, search.NotSent, got.Outcome)
	assert.Equal(t, "target-busy", got.Reason)
	assert.True(t, got.LocalFailure)
	assert.Equal(t, "4", <-ended)
	assert.Equal(t, "3", <-ended)
}

func TestPoolClosesConnectionWhenContextEnds(t *testing.T) {
	s := startTarget(t, "...")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	got := newPool().Do(ctx, s.target(), newRequest("1"), oneSecond)
	assert.Equal(t, search.Unknown, got.Outcome)
	assert.Eventually(t, func() bool { return s.closed.Load() == 1 }, time.Second, time.Millisecond)
}

func TestPoolReportsRefusedConnectionAsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	got := newPool().Do(t.Context(), exchange.Target{ID: "t", Address: address}, newRequest("1"), oneSecond)
	assert.Equal(t, search.NotSent, got.Outcome)
	assert.Equal(t, "connect-refused", got.Reason)
}

// TestPoolSendsNonIdempotentRequestOnRecentlyUsedConnection uses a target that drops idle
// connections without notice and resets them when the next request arrives. A
// non-idempotent request that is lost this way cannot be sent again.
func TestPoolSendsNonIdempotentRequestOnRecentlyUsedConnection(t *testing.T) {
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
			go serveAndResetIdle(c, idle)
		}
	}()
	p := newPool()
	to := exchange.Target{ID: "t", Address: l.Addr().String()}
	for range 3 {
		req := newRequest("1")
		req.NonIdempotent = true
		got := p.Do(t.Context(), to, req, oneSecond)
		assert.Equal(t, search.Good, got.Outcome, got.Err)
		time.Sleep(idle + 50*time.Millisecond)
	}
	got := p.Do(t.Context(), to, newRequest("1"), oneSecond)
	assert.Equal(t, search.Unknown, got.Outcome, "an idempotent request is sent on any idle connection, since it can be retried")
}

// serveAndResetIdle answers requests. It resets the connection when a request arrives
// after more than the idle time.
func serveAndResetIdle(c net.Conn, idle time.Duration) {
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
		_, _ = io.WriteString(c, strings.ReplaceAll(goodAnswer, "ID", "1"))
	}
}

func TestPoolReadsAnswerBeforeLongBodyIsWritten(t *testing.T) {
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
	req := newRequest("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 32<<20)
	p := newPool()
	got := p.Do(t.Context(), exchange.Target{ID: "t", Address: l.Addr().String()}, req, oneSecond)
	assert.Equal(t, search.Failed, got.Outcome, got.Err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, got.Status)
	assert.False(t, p.Exhausted("t"), "the connection is closed, since the body has not been written completely")
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
			go (&testTarget{}).serve(c, []string{goodAnswer})
		}
	}()
	p := newPool()
	t := exchange.Target{ID: "t", Address: l.Addr().String()}
	b.ReportAllocs()
	for b.Loop() {
		req := newRequest("1")
		if r := p.Do(b.Context(), t, req, oneSecond); r.Outcome != search.Good {
			b.Fatal(r.Err)
		}
		req.End()
	}
}

package exchange_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// startEndlessTarget starts a target that answers each request with a beginning and then
// repeats a text until the connection is closed. It returns the number of bytes sent.
func startEndlessTarget(t *testing.T, beginning, repeated string) (exchange.Target, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var sent atomic.Int64
	block := strings.Repeat(repeated, 1+16<<10/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, beginning)
				for err == nil {
					var n int
					n, err = io.WriteString(c, block)
					sent.Add(int64(n))
				}
			}()
		}
	}()
	return exchange.Target{ID: "t", Address: l.Addr().String()}, &sent
}

// TestEndlessBytesEndTheRequest checks that a target that sends bytes without end costs
// neither memory nor the time of the request. Up to the socket buffers and the limit on a
// body may be received.
func TestEndlessBytesEndTheRequest(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n"
	const buffers = 12 << 20
	tests := map[string]struct {
		beginning, repeated, reason string
		maxBytes                    int64
	}{
		"status line":     {"HTTP/1.1 200 ", "x", "answer-too-long", buffers},
		"header field":    {ok + "Long: ", "x", "answer-too-long", buffers},
		"header fields":   {ok, "Name: value\r\n", "answer-too-long", buffers},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", "answer-too-long", buffers},
		"body":            {ok + "\r\n", "x", "answer-too-long", buffers + 8<<20},
		"chunked body":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", "answer-too-long", buffers + 9<<20},
		"chunk header":    {ok + "Transfer-Encoding: chunked\r\n\r\n", "1", "bad-format", buffers},
		"trailer":         {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n", "bad-format", buffers},
		"no answer":       {"", "\x00", "answer-too-long", buffers},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, sent := startEndlessTarget(t, test.beginning, test.repeated)
			start := time.Now()
			got := newPool().Do(t.Context(), target, newRequest("1"), func() time.Duration { return 20 * time.Second })
			assert.Equal(t, search.Unknown, got.Outcome)
			assert.Equal(t, test.reason, got.Reason, got.Err)
			assert.Less(t, time.Since(start), 10*time.Second)
			assert.Less(t, sent.Load(), test.maxBytes)
		})
	}
}

// TestStatedLengthReservesNoMemory checks that a target that states a long body and sends
// none does not make the host allocate it.
func TestStatedLengthReservesNoMemory(t *testing.T) {
	s := startTarget(t, "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 8000000\r\n\r\n")
	p := newPool()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	got := p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 20 * time.Millisecond })
	runtime.ReadMemStats(&after)
	assert.Equal(t, "silent", got.Reason)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}

// TestLateSecondCopyIsNotTheNextAnswer sends a second copy of an answer when the
// connection is in use again, with the ID of the earlier request or with none. The next
// caller must get the answer to its own request.
func TestLateSecondCopyIsNotTheNextAnswer(t *testing.T) {
	for name, copied := range map[string]string{
		"with its ID": "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 5\r\n\r\nfirst",
		"without ID":  "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 5\r\n\r\nfirst",
	} {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 5\r\n\r\nfirst", copied+goodAnswer, goodAnswer)
			p := newPool()
			first := p.Do(t.Context(), s.target(), newRequest("1"), oneSecond)
			assert.Equal(t, "first", string(first.Body))
			second := p.Do(t.Context(), s.target(), newRequest("2"), oneSecond)
			assert.Equal(t, search.Good, second.Outcome, second.Err)
			assert.Equal(t, "body", string(second.Body))
			third := p.Do(t.Context(), s.target(), newRequest("3"), oneSecond)
			assert.Equal(t, "body", string(third.Body))
			assert.Equal(t, int64(2), s.accepted.Load(), "the connection with the copy is not used again")
		})
	}
}

// TestAnswerCutInItsHeadIsNoAnswer closes the connection after each byte of the head of an
// answer. The start of a head is no answer, whatever it says.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	for _, length := range []string{"Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n" + length + "\r\n"
		for n := range len(head) {
			target := startTarget(t, cutMark+head[:n])
			r := newPool().Do(t.Context(), target.target(), newRequest("a"), oneSecond)
			assert.Equal(t, search.Unknown, r.Outcome, "head cut after %q", head[:n])
			assert.Empty(t, r.Body)
			assert.Zero(t, r.Status)
		}
	}
}

// copyingTarget is a target that gives its first answer to the first request and goodAnswer to
// the others. If a connection carries a request again, it sends a second copy of its earlier
// answer to it first.
type copyingTarget struct {
	listener net.Listener
	first    string
	requests atomic.Int64
}

func startCopyingTarget(t *testing.T, first string) *copyingTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c := &copyingTarget{listener: l, first: first}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(raw)
		}
	}()
	return c
}

func (c *copyingTarget) serve(raw net.Conn) {
	defer func() { _ = raw.Close() }()
	in, earlier := bufio.NewReader(raw), map[string]string{}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		answer := goodAnswer
		if c.requests.Add(1) == 1 {
			answer = c.first
		}
		id := r.Header.Get("Id")
		answer = strings.ReplaceAll(answer, "ID", id)
		_, _ = io.WriteString(raw, earlier[id]+answer)
		earlier[id] = answer
	}
}

func (c *copyingTarget) target() exchange.Target {
	return exchange.Target{ID: "t", Address: c.listener.Addr().String()}
}

// TestLateCopyIsNotTheNextAttempt sends a request again to a target that repeats its answer to
// the first attempt. The ID does not tell the copy from the answer to the next attempt; if the
// copy of a refusal is taken for it, the request counts as not run while it runs.
func TestLateCopyIsNotTheNextAttempt(t *testing.T) {
	for name, first := range map[string]string{
		"refusal": "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure": "HTTP/1.1 500 Broken\r\nId: ID\r\nStamp: s\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, maxConns := range []int{1, 3} {
			t.Run(fmt.Sprint(name, ", connections: ", maxConns), func(t *testing.T) {
				s := startCopyingTarget(t, first)
				p := newPool()
				p.SetMaxConns("t", maxConns)
				req := newRequest("1")
				req.NonIdempotent = true
				earlier := p.Do(t.Context(), s.target(), req, oneSecond)
				assert.NotEqual(t, search.Good, earlier.Outcome)
				between := p.Do(t.Context(), s.target(), newRequest("2"), oneSecond)
				assert.Equal(t, search.Good, between.Outcome, between.Reason)
				got := p.Do(t.Context(), s.target(), req, oneSecond)
				assert.Equal(t, search.Good, got.Outcome, got.Reason)
				assert.Equal(t, int64(3), s.requests.Load())
				assert.NotEqual(t, earlier.Conn, got.Conn)
			})
		}
	}
}

// TestRequestIsSentAgainOnIdleConnection sends a request again while two connections are idle.
// It must use the one that has not carried it, and open none.
func TestRequestIsSentAgainOnIdleConnection(t *testing.T) {
	s := startTarget(t, goodAnswer)
	p := newPool()
	p.SetMaxConns("t", 4)
	var both, connected sync.WaitGroup
	connected.Add(2)
	for range 2 {
		both.Go(func() {
			calls := 0
			p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration {
				if calls++; calls == 2 {
					connected.Done()
					connected.Wait()
				}
				return time.Second
			})
		})
	}
	both.Wait()
	require.Equal(t, int64(2), s.accepted.Load())
	req, conns := newRequest("2"), map[uint64]bool{}
	for range 2 {
		got := p.Do(t.Context(), s.target(), req, oneSecond)
		assert.Equal(t, search.Good, got.Outcome, got.Reason)
		conns[got.Conn] = true
	}
	assert.Len(t, conns, 2)
	assert.Equal(t, int64(2), s.accepted.Load(), "an idle connection is used before a new one is opened")
	got := p.Do(t.Context(), s.target(), req, oneSecond)
	assert.Equal(t, search.Good, got.Outcome, got.Reason)
	assert.Equal(t, int64(3), s.accepted.Load())
}

// TestRequestSentAgainOpensNoConnectionAboveLimit sends a request again while all connections
// that the target allows are open and have carried it. One of them must be closed before
// another is opened.
func TestRequestSentAgainOpensNoConnectionAboveLimit(t *testing.T) {
	s := startTarget(t, goodAnswer)
	p := newPool()
	p.SetMaxConns("t", 1)
	req := newRequest("1")
	for range 5 {
		got := p.Do(t.Context(), s.target(), req, oneSecond)
		assert.Equal(t, search.Good, got.Outcome, got.Reason)
	}
	assert.Equal(t, int64(5), s.accepted.Load())
	assert.Eventually(t, func() bool { return s.accepted.Load()-s.closed.Load() == 1 }, time.Second, time.Millisecond)
}

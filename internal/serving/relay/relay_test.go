package relay_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/search"
)

func record(letter string) []byte { return []byte(strings.Repeat(letter, search.RecordSize)) }

func good(stamp string, records ...string) exchange.Reply {
	r := exchange.Reply{Outcome: search.Good, MAC: stamp}
	for _, one := range records {
		r.Body = append(r.Body, record(one)...)
	}
	return r
}

func TestCollectorSendsTogetherWhatIsInAtTheFlush(t *testing.T) {
	start := time.Unix(1000, 0)
	var c relay.Collector
	c.Reset(4, start.Add(10*time.Millisecond), 2)
	assert.False(t, c.Add(start, relay.PartResult{Index: 0, Reply: good("a", "b", "d")}))
	assert.False(t, c.Add(start, relay.PartResult{Index: 2, Reply: good("c", "c", "a")}))
	assert.True(t, c.Flush())
	first := c.Take()
	assert.Len(t, first.Parts, 2)
	assert.Equal(t, string(record("d"))+string(record("c")), string(first.TopRecords))
	assert.True(t, c.Add(start.Add(20*time.Millisecond), relay.PartResult{Index: 1, Reply: good("b", "z")}))
	assert.Equal(t, string(record("z")), string(c.Take().TopRecords))
	assert.True(t, c.Add(start.Add(30*time.Millisecond), relay.PartResult{Index: 3, Reply: exchange.Reply{Outcome: search.Failed}}))
	last := c.Take()
	assert.Len(t, last.Parts, 1)
	assert.Empty(t, last.TopRecords)
	assert.Zero(t, c.Left())
}

func TestCollectorSendsAtOnceWhenAllAreIn(t *testing.T) {
	var c relay.Collector
	c.Reset(1, time.Unix(2000, 0), 2)
	assert.True(t, c.Add(time.Unix(1000, 0), relay.PartResult{Reply: good("a", "a")}))
}

// receiver keeps what it is told.
type receiver struct {
	mu     sync.Mutex
	parts  map[int]relay.PartResult
	told   int
	broken error
}

func (r *receiver) HandleResults(t relay.Results) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told++
	for _, p := range t.Parts {
		r.parts[p.Index] = p
	}
}

func (r *receiver) HandleFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = err
}

func (r *receiver) state() (parts, told int, broken error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.parts), r.told, r.broken
}

// host takes parts and answers as its sender does.
type host struct {
	address string
	stop    context.CancelFunc
}

func serve(t *testing.T, send relay.SendFunc) host {
	ctx, cancel := context.WithCancel(t.Context())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go relay.Serve(ctx, l, send, slog.New(slog.DiscardHandler))
	return host{address: l.Addr().String(), stop: cancel}
}

func connect(t *testing.T, h host) *relay.Connections {
	var l relay.Connections
	l.Reset(t.Context(), slog.New(slog.DiscardHandler))
	require.Eventually(t, func() bool { return l.Ready(h.address) }, 2*time.Second, time.Millisecond)
	return &l
}

func ask(targets ...string) relay.Request {
	now := time.Now()
	return relay.Request{
		CallerRequest: &exchange.Request{ID: "r1", Method: http.MethodPost, URI: "/a//b?c", Host: "h", Header: http.Header{"X": {"1", "2"}}, Body: []byte{0, 255}},
		Targets:       targets, FlushTime: now.Add(30 * time.Millisecond), SoftDeadline: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second), MaxRecords: 2,
	}
}

func newReceiver() *receiver { return &receiver{parts: map[int]relay.PartResult{}} }

func TestPartsGoThroughAHost(t *testing.T) {
	var seen atomic.Pointer[exchange.Request]
	var left atomic.Int64
	h := serve(t, func(_ context.Context, target string, a *exchange.Request, rest func() time.Duration) exchange.Reply {
		switch target {
		case "slow":
			time.Sleep(60 * time.Millisecond)
		case "busy":
			return exchange.Reply{Outcome: search.NotRun, Reason: "shed", Status: 503, Shed: true}
		case "moved":
			return exchange.Reply{Outcome: search.NotRun, Reason: "moved", TargetMoved: true}
		}
		seen.Store(a)
		left.Store(int64(rest()))
		return good("stamp-"+target, "a")
	})
	l := connect(t, h)
	r := newReceiver()
	cancel, ok := l.Send(h.address, ask("one", "busy", "slow", "two", "moved"), r)
	require.True(t, ok)
	require.Eventually(t, func() bool { parts, _, _ := r.state(); return parts == 5 }, 2*time.Second, time.Millisecond)
	_, told, _ := r.state()
	assert.Equal(t, 2, told, "the slow part comes alone")
	assert.Equal(t, "stamp-one", r.parts[0].Reply.MAC)
	assert.Equal(t, search.NotRun, r.parts[1].Reply.Outcome)
	assert.True(t, r.parts[1].Reply.Shed)
	assert.True(t, r.parts[4].Reply.TargetMoved)
	assert.False(t, r.parts[4].Reply.Shed)
	assert.Equal(t, "/a//b?c", seen.Load().URI)
	assert.Equal(t, []byte{0, 255}, seen.Load().Body)
	assert.Equal(t, []string{"1", "2"}, seen.Load().Header["X"])
	assert.LessOrEqual(t, time.Duration(left.Load()), 100*time.Millisecond)
	assert.False(t, cancel(), "nothing is left to end")
}

func TestCancelEndsThePartsAtTheHost(t *testing.T) {
	ended := make(chan error, 1)
	h := serve(t, func(ctx context.Context, _ string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		<-ctx.Done()
		ended <- ctx.Err()
		return exchange.Reply{Outcome: search.Unknown}
	})
	l := connect(t, h)
	cancel, ok := l.Send(h.address, ask("one"), newReceiver())
	require.True(t, ok)
	time.Sleep(20 * time.Millisecond)
	assert.True(t, cancel())
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(time.Second):
		t.Fatal("the part goes on")
	}
}

func TestPartsOfAHostThatDiesEndWithoutAnAnswer(t *testing.T) {
	began := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	h := serve(t, func(ctx context.Context, _ string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		began <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return exchange.Reply{Outcome: search.Unknown}
	})
	l := connect(t, h)
	r := newReceiver()
	_, ok := l.Send(h.address, ask("one", "two"), r)
	require.True(t, ok)
	<-began
	h.stop()
	require.Eventually(t, func() bool { _, _, broken := r.state(); return broken != nil }, 2*time.Second, time.Millisecond)
	<-ended
	assert.False(t, l.Ready(h.address), "it is left alone for a while")
}

func TestHostThatCannotBeReachedIsNotUsed(t *testing.T) {
	var l relay.Connections
	l.Reset(t.Context(), slog.New(slog.DiscardHandler))
	for range 20 {
		assert.False(t, l.Ready("127.0.0.1:1"))
		time.Sleep(time.Millisecond)
	}
	_, ok := l.Send("127.0.0.1:1", ask("one"), newReceiver())
	assert.False(t, ok)
}

func TestTakesNoHarmFromWhatItCannotRead(t *testing.T) {
	h := serve(t, func(context.Context, string, *exchange.Request, func() time.Duration) exchange.Reply {
		return good("s", "a")
	})
	for _, text := range []string{
		"{]", `{"jsonrpc":"2.0","method":"parts/ask","params":5}`, `{"jsonrpc":"2.0","method":"parts/ask"}`,
		`{"jsonrpc":"2.0","method":"parts/ask","params":{"targets":[]}}`, `{"jsonrpc":"2.0","method":"parts/cancel","params":{"number":9}}`,
		`{"jsonrpc":"2.0","method":"parts/ask","params":{"number":1,"targets":["a"],"body":"%%%"}}`,
	} {
		c, err := net.Dial("tcp", h.address)
		require.NoError(t, err)
		_, err = c.Write([]byte(text + "\n"))
		require.NoError(t, err)
		_ = c.Close()
	}
	l := connect(t, h)
	r := newReceiver()
	_, ok := l.Send(h.address, ask("one"), r)
	require.True(t, ok)
	assert.Eventually(t, func() bool { parts, _, _ := r.state(); return parts == 1 }, 2*time.Second, time.Millisecond)
}

func BenchmarkRelay(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	body := good("3e1b.07.5a2.600.0.c9f2a4d1", strings.Split("abcdefghijklmnopqrstuvwxy", "")...)
	go relay.Serve(ctx, listener, func(context.Context, string, *exchange.Request, func() time.Duration) exchange.Reply { return body }, slog.New(slog.DiscardHandler))
	var l relay.Connections
	l.Reset(ctx, slog.New(slog.DiscardHandler))
	for !l.Ready(listener.Addr().String()) {
		time.Sleep(time.Millisecond)
	}
	a := ask("i-0000000001", "i-0000000002", "i-0000000003", "i-0000000004", "i-0000000005", "i-0000000006", "i-0000000007")
	a.MaxRecords = 20
	b.ReportAllocs()
	for b.Loop() {
		r := &signal{done: make(chan struct{}), left: len(a.Targets)}
		if _, ok := l.Send(listener.Addr().String(), a, r); !ok {
			b.Fatal("not asked")
		}
		<-r.done
	}
}

// signal ends when all parts are in.
type signal struct {
	done chan struct{}
	left int
}

func (s *signal) HandleResults(t relay.Results) {
	if s.left -= len(t.Parts); s.left == 0 {
		close(s.done)
	}
}

func (s *signal) HandleFailure(error) { close(s.done) }

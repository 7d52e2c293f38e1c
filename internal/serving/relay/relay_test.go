package relay_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/search"
)

// record returns a record that consists of one letter, so that records are ordered by it.
func record(letter string) []byte { return []byte(strings.Repeat(letter, search.RecordSize)) }

func goodReply(mac string, records ...string) exchange.Reply {
	r := exchange.Reply{Outcome: search.Good, MAC: mac}
	for _, letter := range records {
		r.Body = append(r.Body, record(letter)...)
	}
	return r
}

func TestCollectorBatchesPartsUntilFlush(t *testing.T) {
	start := time.Unix(1000, 0)
	var c relay.Collector
	c.Reset(4, start.Add(10*time.Millisecond), 2)
	assert.False(t, c.Add(start, relay.PartResult{Index: 0, Reply: goodReply("a", "b", "d")}))
	assert.False(t, c.Add(start, relay.PartResult{Index: 2, Reply: goodReply("c", "c", "a")}))
	assert.True(t, c.Flush())
	first := c.Take()
	assert.Len(t, first.Parts, 2)
	assert.Equal(t, string(record("d"))+string(record("c")), string(first.TopRecords))
	assert.True(t, c.Add(start.Add(20*time.Millisecond), relay.PartResult{Index: 1, Reply: goodReply("b", "z")}))
	assert.Equal(t, string(record("z")), string(c.Take().TopRecords))
	assert.True(t, c.Add(start.Add(30*time.Millisecond), relay.PartResult{Index: 3, Reply: exchange.Reply{Outcome: search.Failed}}))
	last := c.Take()
	assert.Len(t, last.Parts, 1)
	assert.Empty(t, last.TopRecords)
	assert.Zero(t, c.Pending())
}

func TestCollectorSendsImmediatelyWhenComplete(t *testing.T) {
	var c relay.Collector
	c.Reset(1, time.Unix(2000, 0), 2)
	assert.True(t, c.Add(time.Unix(1000, 0), relay.PartResult{Reply: goodReply("a", "a")}))
}

// recorder is a relay.ResultHandler that records its calls.
type recorder struct {
	mu      sync.Mutex
	parts   map[int]relay.PartResult
	batches int
	err     error
}

func (r *recorder) HandleResults(results relay.Results) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches++
	for _, p := range results.Parts {
		r.parts[p.Index] = p
	}
}

func (r *recorder) HandleFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func (r *recorder) state() (parts, batches int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.parts), r.batches, r.err
}

// testHost is a relay host that answers parts with a relay.SendFunc.
type testHost struct {
	address string
	stop    context.CancelFunc
}

// startHost starts a relay host; its stop function closes its connections.
func startHost(t *testing.T, send relay.SendFunc) testHost {
	ctx, cancel := context.WithCancel(t.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go relay.Serve(ctx, listener, send, slog.New(slog.DiscardHandler), nil)
	return testHost{address: listener.Addr().String(), stop: cancel}
}

// connect returns connections that are ready to send requests to the host.
func connect(t *testing.T, h testHost) *relay.Connections {
	var conns relay.Connections
	conns.Reset(t.Context(), slog.New(slog.DiscardHandler), nil)
	require.Eventually(t, func() bool { return conns.Ready(h.address) }, 2*time.Second, time.Millisecond)
	return &conns
}

func newRequest(targets ...string) relay.Request {
	now := time.Now()
	return relay.Request{
		CallerRequest: &exchange.Request{ID: "r1", Method: http.MethodPost, URI: "/a//b?c", Host: "h", Header: http.Header{"X": {"1", "2"}}, Body: []byte{0, 255}},
		Targets:       targets, FlushTime: now.Add(30 * time.Millisecond), SoftDeadline: now.Add(100 * time.Millisecond), Deadline: now.Add(time.Second), MaxRecords: 2,
	}
}

func newRecorder() *recorder { return &recorder{parts: map[int]relay.PartResult{}} }

func TestRelayReturnsPartResults(t *testing.T) {
	var seen atomic.Pointer[exchange.Request]
	var left atomic.Int64
	h := startHost(t, func(_ context.Context, target string, req *exchange.Request, timeLeft func() time.Duration) exchange.Reply {
		switch target {
		case "slow":
			time.Sleep(60 * time.Millisecond)
		case "busy":
			return exchange.Reply{Outcome: search.NotRun, Reason: "shed", Status: 503, Shed: true}
		case "moved":
			return exchange.Reply{Outcome: search.NotRun, Reason: "moved", TargetMoved: true}
		}
		seen.Store(req)
		left.Store(int64(timeLeft()))
		return goodReply("mac-"+target, "a")
	})
	conns := connect(t, h)
	r := newRecorder()
	cancel, ok := conns.Send(h.address, newRequest("one", "busy", "slow", "two", "moved"), r)
	require.True(t, ok)
	require.Eventually(t, func() bool { parts, _, _ := r.state(); return parts == 5 }, 2*time.Second, time.Millisecond)
	_, batches, _ := r.state()
	assert.Equal(t, 2, batches, "the slow part is returned in a message of its own")
	assert.Equal(t, "mac-one", r.parts[0].Reply.MAC)
	assert.Equal(t, search.NotRun, r.parts[1].Reply.Outcome)
	assert.True(t, r.parts[1].Reply.Shed)
	assert.True(t, r.parts[4].Reply.TargetMoved)
	assert.False(t, r.parts[4].Reply.Shed)
	assert.Equal(t, "/a//b?c", seen.Load().URI)
	assert.Equal(t, []byte{0, 255}, seen.Load().Body)
	assert.Equal(t, []string{"1", "2"}, seen.Load().Header["X"])
	assert.LessOrEqual(t, time.Duration(left.Load()), 100*time.Millisecond)
	assert.False(t, cancel(), "all results have been received")
}

// TestRelayPassesOnWhatTargetsSay returns the statements of targets with good and with other
// results.
func TestRelayPassesOnWhatTargetsSay(t *testing.T) {
	leaving := exchange.Statement{Incarnation: 1700000000123, Leaving: true}
	closed := exchange.Statement{Incarnation: 7, ClosedFor: 1500 * time.Millisecond}
	h := startHost(t, func(_ context.Context, target string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		switch target {
		case "leaving":
			r := goodReply("mac-leaving", "a")
			r.Statement = leaving
			return r
		case "closed":
			return exchange.Reply{Outcome: search.NotRun, Reason: "shed", Status: 503, Shed: true, Statement: closed}
		}
		return goodReply("mac-"+target, "b")
	})
	conns := connect(t, h)
	r := newRecorder()
	_, ok := conns.Send(h.address, newRequest("one", "leaving", "closed"), r)
	require.True(t, ok)
	require.Eventually(t, func() bool { parts, _, _ := r.state(); return parts == 3 }, 2*time.Second, time.Millisecond)
	assert.Equal(t, exchange.Statement{}, r.parts[0].Reply.Statement)
	assert.Equal(t, "mac-leaving", r.parts[1].Reply.MAC)
	assert.Equal(t, leaving, r.parts[1].Reply.Statement)
	assert.Equal(t, closed, r.parts[2].Reply.Statement)
	assert.Positive(t, r.parts[0].Elapsed)
}

func FuzzMessages(f *testing.F) {
	for _, text := range [][]byte{{0x94, 1, 0x90, 0x90, 0xc0}, {0xdd, 0xff, 0xff, 0xff, 0xff}, {0x9c, 0xc0}, {0x91, 9}} {
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		for _, m := range []interface{ UnmarshalMsg([]byte) ([]byte, error) }{&wire.Request{}, &wire.Results{}, &wire.Cancel{}} {
			_, _ = m.UnmarshalMsg(text)
		}
	})
}

func TestCancelStopsPartsAtRelayHost(t *testing.T) {
	ended := make(chan error, 1)
	h := startHost(t, func(ctx context.Context, _ string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		<-ctx.Done()
		ended <- ctx.Err()
		return exchange.Reply{Outcome: search.Unknown}
	})
	conns := connect(t, h)
	cancel, ok := conns.Send(h.address, newRequest("one"), newRecorder())
	require.True(t, ok)
	time.Sleep(20 * time.Millisecond)
	assert.True(t, cancel())
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, context.Canceled)
	case <-time.After(time.Second):
		t.Fatal("the part was not cancelled")
	}
}

func TestPartsFailWhenRelayHostStops(t *testing.T) {
	started := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	h := startHost(t, func(ctx context.Context, _ string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		started <- struct{}{}
		<-ctx.Done()
		ended <- struct{}{}
		return exchange.Reply{Outcome: search.Unknown}
	})
	conns := connect(t, h)
	r := newRecorder()
	_, ok := conns.Send(h.address, newRequest("one", "two"), r)
	require.True(t, ok)
	<-started
	h.stop()
	require.Eventually(t, func() bool { _, _, err := r.state(); return err != nil }, 2*time.Second, time.Millisecond)
	<-ended
	assert.False(t, conns.Ready(h.address), "the host is in back-off")
}

func TestUnreachableHostIsNotReady(t *testing.T) {
	var conns relay.Connections
	conns.Reset(t.Context(), slog.New(slog.DiscardHandler), nil)
	for range 20 {
		assert.False(t, conns.Ready("127.0.0.1:1"))
		time.Sleep(time.Millisecond)
	}
	_, ok := conns.Send("127.0.0.1:1", newRequest("one"), newRecorder())
	assert.False(t, ok)
}

// frameOf returns a message as it is sent: its length, its kind and its content.
func frameOf(kind byte, content []byte) []byte {
	return append(append(binary.AppendUvarint(nil, uint64(len(content))), kind), content...)
}

// requestFrame returns a request message after a change.
func requestFrame(t *testing.T, change func(m *wire.Request)) []byte {
	m := wire.Request{Number: 1, ID: "r", Method: http.MethodGet, Uri: "/", Host: "h", Targets: []string{"a"}, EndUs: 1_000_000, Top: 2}
	change(&m)
	content, err := m.MarshalMsg(nil)
	require.NoError(t, err)
	return frameOf('q', content)
}

// TestServeSurvivesUnreadableMessages guards against a panic or a blocked host when a peer
// sends messages of another format, invalid content or absurd numbers.
func TestServeSurvivesUnreadableMessages(t *testing.T) {
	h := startHost(t, func(context.Context, string, *exchange.Request, func() time.Duration) exchange.Reply {
		return goodReply("s", "a")
	})
	whole := requestFrame(t, func(*wire.Request) {})
	for name, message := range map[string][]byte{
		"JSON":                []byte(`{"jsonrpc":"2.0","method":"parts/ask","params":5}` + "\n"),
		"call":                frameOf('j', []byte(`{"jsonrpc":"2.0","method":"parts/ask","id":1}`)),
		"invalid call":        frameOf('j', []byte("{]")),
		"unknown kind":        frameOf('z', nil),
		"results to a server": frameOf('s', []byte{0x94, 1, 0x90, 0x90, 0xc0}),
		"old results":         frameOf('r', []byte{0x93, 1, 0x90, 0xc0}),
		"empty request":       frameOf('q', nil),
		"wrong types":         frameOf('q', []byte{0x9c, 0xc0, 0xc0, 0xc0}),
		"endless array":       frameOf('q', []byte{0xdd, 0xff, 0xff, 0xff, 0xff}),
		"too long":            binary.AppendUvarint(nil, 1<<40),
		"truncated":           whole[:len(whole)-3],
		"no parts":            requestFrame(t, func(m *wire.Request) { m.Targets = nil }),
		"negative numbers":    requestFrame(t, func(m *wire.Request) { m.Top, m.FlushUs, m.EndUs, m.SettleUs, m.Number = -1, -1, -1, -1, -1 }),
		"huge numbers":        requestFrame(t, func(m *wire.Request) { m.Top, m.FlushUs, m.EndUs = math.MaxInt, math.MaxInt, math.MaxInt }),
		"unknown cancel":      frameOf('c', []byte{0x91, 9}),
	} {
		c, err := net.Dial("tcp", h.address)
		require.NoError(t, err, name)
		_, err = c.Write(message)
		require.NoError(t, err, name)
		time.Sleep(5 * time.Millisecond)
		_ = c.Close()
	}
	conns := connect(t, h)
	r := newRecorder()
	_, ok := conns.Send(h.address, newRequest("one"), r)
	require.True(t, ok)
	assert.Eventually(t, func() bool { parts, _, _ := r.state(); return parts == 1 }, 2*time.Second, time.Millisecond)
}

func BenchmarkRelay(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	body := goodReply("3e1b.07.5a2.600.0.c9f2a4d1", strings.Split("abcdefghijklmnopqrstuvwxy", "")...)
	go relay.Serve(ctx, listener, func(context.Context, string, *exchange.Request, func() time.Duration) exchange.Reply { return body }, slog.New(slog.DiscardHandler), nil)
	var conns relay.Connections
	conns.Reset(ctx, slog.New(slog.DiscardHandler), nil)
	for !conns.Ready(listener.Addr().String()) {
		time.Sleep(time.Millisecond)
	}
	req := newRequest("i-0000000001", "i-0000000002", "i-0000000003", "i-0000000004", "i-0000000005", "i-0000000006", "i-0000000007")
	req.MaxRecords = 20
	b.ReportAllocs()
	for b.Loop() {
		handler := &completion{done: make(chan struct{}), remaining: len(req.Targets)}
		if _, ok := conns.Send(listener.Addr().String(), req, handler); !ok {
			b.Fatal("request not sent")
		}
		<-handler.done
	}
}

// completion is a relay.ResultHandler that closes a channel when all results have arrived.
type completion struct {
	done      chan struct{}
	remaining int
}

func (c *completion) HandleResults(r relay.Results) {
	if c.remaining -= len(r.Parts); c.remaining == 0 {
		close(c.done)
	}
}

func (c *completion) HandleFailure(error) { close(c.done) }

// TestTooLargeRequestIsNotRelayed sends a request that no message can hold, between two
// others. It must be refused on this host, which sends its parts directly; on the
// connection it would end the others too.
func TestTooLargeRequestIsNotRelayed(t *testing.T) {
	h := startHost(t, func(_ context.Context, target string, _ *exchange.Request, _ func() time.Duration) exchange.Reply {
		time.Sleep(50 * time.Millisecond)
		return goodReply(target, "a")
	})
	conns := connect(t, h)
	send := func(body []byte) (*recorder, bool) {
		r := &recorder{parts: map[int]relay.PartResult{}}
		_, ok := conns.Send(h.address, relay.Request{
			CallerRequest: &exchange.Request{ID: "1", Method: http.MethodPost, URI: "/", Body: body}, Targets: []string{"t"}, MaxRecords: 1,
			FlushTime: time.Now(), Deadline: time.Now().Add(5 * time.Second),
		}, r)
		return r, ok
	}
	before, ok := send(nil)
	assert.True(t, ok)
	_, ok = send(make([]byte, 17<<20))
	assert.False(t, ok)
	after, ok := send(nil)
	assert.True(t, ok)
	for _, r := range []*recorder{before, after} {
		assert.Eventually(t, func() bool {
			parts, _, err := r.state()
			return parts == 1 && err == nil
		}, 2*time.Second, time.Millisecond)
	}
}

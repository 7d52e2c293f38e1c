package link_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/link"
	"fescuerill/internal/network"
	"fescuerill/internal/schema/peer"
)

// immediateResponder is a Handler that replies to each part at once.
type immediateResponder struct {
	hits []peer.Hit
}

func (i immediateResponder) HandleParts(r *link.Responder, requests peer.PartRequests) {
	for _, q := range requests.Queries {
		for _, p := range q.Parts {
			r.Reply(peer.PartReply{Query: q.Query, ID: p.ID, Target: p.Target, Snapshot: q.Snapshot, Outcome: "done", Hits: i.hits})
		}
	}
}

func (immediateResponder) HandleCall(context.Context, string, json.RawMessage) (any, error) {
	return struct{}{}, nil
}
func (immediateResponder) HandleProtocolError(error) {}

// recordingHandler is a ReplyHandler that records what the link passes to it.
type recordingHandler struct {
	replies  chan int
	lost     chan bool
	timeouts chan struct{}
}

func newRecordingHandler() recordingHandler {
	return recordingHandler{make(chan int, 100_000), make(chan bool, 100), make(chan struct{}, 100)}
}

func (r recordingHandler) HandleReplies(replies peer.PartReplies)  { r.replies <- len(replies.Parts) }
func (r recordingHandler) HandleLost(_ peer.QueryParts, sent bool) { r.lost <- sent }
func (r recordingHandler) HandleConnectionTimeout()                { r.timeouts <- struct{}{} }

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

func queryParts(parts int) peer.QueryParts {
	q := peer.QueryParts{Query: 1, Snapshot: 1, Terms: "clock tower", Limit: 10, BudgetUs: 50_000}
	for i := range parts {
		q.Parts = append(q.Parts, peer.Part{ID: i, Target: "dispatch-desk/dispatch-desk-01/a", Shard: i, Seen: 1234567})
	}
	return q
}

func TestLinkDeliversReplies(t *testing.T) {
	var traffic link.Traffic
	s := link.Serve(listen(t), immediateResponder{}, &traffic)
	defer s.Close()
	r := newRecordingHandler()
	l := link.New(network.TCP{}, s.Address(), r, &traffic)
	defer l.Close()
	l.SendParts(queryParts(3))
	got := 0
	for got < 3 {
		got += <-r.replies
	}
	assert.Equal(t, 3, got)
}

func TestPartsToClosedPortAreLostUnsent(t *testing.T) {
	dead := listen(t)
	address := dead.Addr().String()
	require.NoError(t, dead.Close())
	r := newRecordingHandler()
	l := link.New(network.TCP{}, address, r, &link.Traffic{})
	defer l.Close()
	l.SendParts(queryParts(1))
	assert.False(t, <-r.lost, "the part was not sent")
}

// TestClosesSilentConnection checks that a link closes the connection to a peer
// that accepts it and never replies.
func TestClosesSilentConnection(t *testing.T) {
	silent := listen(t)
	defer silent.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := silent.Accept(); err == nil {
			accepted <- c
		}
	}()
	r := newRecordingHandler()
	l := link.New(network.TCP{}, silent.Addr().String(), r, &link.Traffic{})
	defer l.Close()
	l.SendParts(queryParts(1))
	// A connection that nothing refers to would be closed by the garbage collector.
	peer := <-accepted
	defer func() { _ = peer.Close() }()
	<-r.timeouts
	assert.True(t, <-r.lost, "the part may have been received")
}

func TestInvalidMessageClosesConnection(t *testing.T) {
	s := link.Serve(listen(t), immediateResponder{}, &link.Traffic{})
	defer s.Close()
	for _, invalid := range []string{"\xff\xff\xff\xff\xff\xff\xff\xff\x01", "\x02j{]", "\x02a{]", "\x01x!", "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: a program that takes this for another port\r\n\r\n"} {
		c, err := net.Dial("tcp", s.Address())
		require.NoError(t, err)
		_, err = c.Write([]byte(invalid))
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = c.Read(make([]byte, 1))
		assert.Error(t, err, "closed by the peer")
		assert.NotContains(t, err.Error(), "timeout")
		_ = c.Close()
	}
}

func hits(n int) []peer.Hit {
	out := make([]peer.Hit, n)
	for i := range out {
		out[i] = peer.Hit{Document: fmt.Sprintf("OPERATORS.md#%d@12", i), Score: 0.734, Text: "A data centre that is taken out gets no new work within"}
	}
	return out
}

// BenchmarkHop sends the parts of one query over a link and waits for the
// replies.
func BenchmarkHop(b *testing.B) {
	for _, hitCount := range []int{0, 10} {
		for _, parts := range []int{1, 4, 16, 64} {
			b.Run(fmt.Sprintf("hits=%d/parts=%d", hitCount, parts), func(b *testing.B) {
				var traffic link.Traffic
				s := link.Serve(listen(b), immediateResponder{hits(hitCount)}, &traffic)
				defer s.Close()
				r := newRecordingHandler()
				l := link.New(network.TCP{}, s.Address(), r, &traffic)
				defer l.Close()
				b.ReportAllocs()
				for b.Loop() {
					l.SendParts(queryParts(parts))
					for got := 0; got < parts; {
						got += <-r.replies
					}
				}
				n := float64(b.N) * float64(parts)
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/n, "ns/part")
				b.ReportMetric(float64(traffic.Sent())/n, "B/part")
			})
		}
	}
}

// FuzzAsks decodes arbitrary bytes as requests from another daemon. Whatever
// decodes must encode and decode again.
func FuzzAsks(f *testing.F) {
	message := peer.PartRequests{Queries: []peer.QueryParts{queryParts(2)}, Cancels: []peer.Cancel{{Query: 1, Ids: []int{1}}}}
	text, err := message.MarshalMsg(nil)
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte{0x92, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		var first peer.PartRequests
		if _, err := first.UnmarshalMsg(text); err != nil {
			return
		}
		again, err := first.MarshalMsg(nil)
		require.NoError(t, err)
		var second peer.PartRequests
		_, err = second.UnmarshalMsg(again)
		require.NoError(t, err)
	})
}

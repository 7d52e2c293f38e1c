package gateway_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/gateway"
	"fescuerill/internal/serving/search"
	"fescuerill/internal/stats"
)

// singleHost is a fleet of one host.
type singleHost struct{}

func (singleHost) LocalConnectingHosts() int                    { return 1 }
func (singleHost) ConnectingHosts() int                         { return 1 }
func (singleHost) Senders() int                                 { return 1 }
func (singleHost) AddHost(peers.Host)                           {}
func (singleHost) SetSizeKnown()                                {}
func (singleHost) RendezvousRank(string) int                    { return 0 }
func (singleHost) AppendRelays(dst []string, _ string) []string { return dst }

// changes is a decoder that maps the keys of items to their content.
type changes map[string]gateway.Change

func (c changes) Decode(i feed.Item) (gateway.Change, error) {
	change, ok := c[i.Key]
	if !ok {
		return change, errors.New("unknown item")
	}
	return change, nil
}

// plainProtocol takes the MAC of an answer from the field Mac.
type plainProtocol struct{}

func (plainProtocol) SetRequestHeader(http.Header, *exchange.Request, exchange.Target, time.Duration) {
}

func (plainProtocol) ParseReplyHeader(h http.Header, r *exchange.Reply) {
	r.MAC = h.Get("Mac")
	if r.Status != http.StatusOK {
		r.Outcome, r.Reason = search.Failed, "target-failed"
	}
}

func (plainProtocol) ReplyRequestID(http.Header) string { return "" }

// serveTarget answers the requests on a connection, at once or, if the target is silent,
// never. The ID of the target is its MAC.
func serveTarget(c net.Conn, id string, silent bool) {
	in := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(in); err != nil {
			_ = c.Close()
			return
		}
		if silent {
			continue
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nMac: "+id+"\r\nContent-Length: 16\r\n\r\n0123456789abcdef")
	}
}

// apply applies the changes with the keys as items of the store. The first revision is a full
// list.
func apply(g *gateway.Gateway, revision int64, keys ...string) {
	var items []feed.Item
	for _, key := range keys {
		items = append(items, feed.Item{Key: key, Revision: revision})
	}
	g.Apply(time.Now(), items, revision == 1, time.Time{})
}

// newSearchGateway returns a gateway with a route to three shards of two targets each. The
// targets whose ID starts with silentPrefix do not answer. Its connections are closed when
// ctx ends.
func newSearchGateway(ctx context.Context, latencyTarget time.Duration, silentPrefix string) (*gateway.Gateway, changes) {
	shards := []string{"s1", "s2", "s3"}
	route := &manifest.Route{
		Name: "search", Host: "h", Prefix: "/", Shards: shards, TopK: 3, MinCoverage: 0.6, Idempotent: true,
		MaxAttempts: 2, Timeout: 10 * latencyTarget, LatencyTarget: latencyTarget,
	}
	decoder := changes{}
	var services []*manifest.Service
	for _, s := range shards {
		services = append(services, &manifest.Service{Name: s, MaxConnections: 20, MaxColdRate: 2})
		for _, id := range []string{s + "-a", s + "-b"} {
			decoder[id] = gateway.Change{Target: &catalog.Target{ID: id, Service: s, Address: id, DataCentre: "d", Slots: 2, Incarnation: 1}}
		}
	}
	decoder["manifest"] = gateway.Change{Manifest: manifest.New(1, []*manifest.Route{route}, services, manifest.Limits{})}
	g := gateway.New(ctx, gateway.Options{
		DataCentre: "d", Fleet: singleHost{}, Decoder: decoder, Protocol: plainProtocol{},
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			host, target := net.Pipe()
			context.AfterFunc(ctx, func() { _ = host.Close() })
			go serveTarget(target, address, strings.HasPrefix(address, silentPrefix))
			return host, nil
		},
		Bounds: gateway.Bounds{RetryFraction: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 50},
		Random: rand.New(rand.NewPCG(1, 1)), Log: slog.New(slog.DiscardHandler), Stats: &stats.Registry{},
	})
	apply(g, 1, slices.Sorted(maps.Keys(decoder))...)
	return g, decoder
}

// TestPartialAnswerMeetsLatencyTarget searches while no target of one of three shards
// answers. The answer without that shard must reach the caller, who opens a new connection
// for it, within the latency target.
func TestPartialAnswerMeetsLatencyTarget(t *testing.T) {
	const latencyTarget, roundTrip = 200 * time.Millisecond, 5 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g, _ := newSearchGateway(ctx, latencyTarget, "s2")
		for range 20 {
			arrived := time.Now()
			got := g.Serve(ctx, &gateway.Request{
				ID: "1", Method: http.MethodGet, URI: "/x", Path: "/x", Host: "h", Header: http.Header{},
				Arrived: arrived, Timeout: 10 * latencyTarget, RoundTrip: roundTrip,
			})
			assert.Equal(t, gateway.Merged, got.Kind)
			assert.Equal(t, 1, got.MissingShards)
			assert.Len(t, got.PartMACs, 2)
			assert.LessOrEqual(t, time.Since(arrived)+2*roundTrip, latencyTarget)
		}
		time.Sleep(time.Second)
		cancel()
	})
}

// TestRelayedPartsDoNotReachColdTarget relays parts to a target that has turned cold, for a
// host that has not heard of that yet. Only the hosts that share the rate of a cold target
// may send to it, so none of the parts must reach it.
func TestRelayedPartsDoNotReachColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g, decoder := newSearchGateway(ctx, 200*time.Millisecond, "none")
		forward := func() exchange.Reply {
			req := &exchange.Request{ID: "1", Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}}
			return g.Forward(ctx, "s1-a", req, func() time.Duration { return 100 * time.Millisecond })
		}
		assert.Equal(t, search.Good, forward().Outcome)
		cold := *decoder["s1-a"].Target
		cold.Sequence, cold.WarmupLeft = 1, 3*time.Second
		decoder["s1-a"] = gateway.Change{Target: &cold}
		apply(g, 2, "s1-a")
		for range 20 {
			got := forward()
			assert.Equal(t, search.NotSent, got.Outcome)
			assert.True(t, got.LocalFailure)
		}
		time.Sleep(4 * time.Second)
		assert.Equal(t, search.Good, forward().Outcome, "the target is warm again")
		cancel()
	})
}

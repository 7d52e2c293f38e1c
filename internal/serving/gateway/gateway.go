package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fescuerill/admission"
	"fescuerill/budget"
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/latency"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/stats"
)

// Change is what an item of the store says. At most one of its fields is set.
type Change struct {
	Manifest *manifest.Manifest
	Target   *catalog.Target
	// DeletedTarget is the ID of a target that is no longer there.
	DeletedTarget string
	// DataCentre is a data centre that is taken out or, with Back, no longer.
	DataCentre string
	Restored   bool
	// Host is a host that has just put its record into the store.
	Host *peers.Host
}

// Decoder reads items of the store.
type Decoder interface {
	// Decode returns what an item says. An item that cannot be read, or was
	// deleted, names no target to use.
	Decode(feed.Item) (Change, error)
}

// Fleet is what is known of the other hosts.
type Fleet interface {
	// Size returns the number of hosts, with this one and those that died
	// lately.
	Size() int
	// LocalConnectingHosts and Far return over how many hosts the connections to a target are
	// divided, of the data centre of this one and of all.
	LocalConnectingHosts() int
	ConnectingHosts() int
	// AddHost takes a host that has a record in the store.
	AddHost(peers.Host)
	// RendezvousRank returns how many live hosts come before this one for something.
	RendezvousRank(something string) int
	// AppendRelays appends to dst where the live hosts of another data centre take
	// parts.
	AppendRelays(dst []string, dataCentre string) []string
}

// Gateway serves requests. New makes one. Its methods may be called from several
// goroutines.
type Gateway struct {
	dataCentre string
	fleet      Fleet
	decoder    Decoder
	log        *slog.Logger
	tally      *stats.Registry
	pool       exchange.Pool
	links      relay.Connections
	latencies  latency.Histograms
	manifest   atomic.Pointer[manifest.Manifest]
	running    atomic.Int64
	parts      atomic.Int64
	// ends is when the host will have stopped, or nil.
	ends atomic.Pointer[time.Time]

	mu       sync.Mutex
	bounds   Bounds
	catalog  catalog.Catalog
	board    replicas.Tracker
	splitter manifest.Splitter
	windows  map[string]*budget.Window
	cold     replicas.ColdStartLimiter
	random   *rand.Rand
	listed   bool
	limiter  admission.Limiter
	// served is the share of the last searches that were answered, and servedAt when
	// the last one ended.
	served   float64
	servedAt time.Time
	// news says which targets changed, for the log.
	news []string
}

// Options are what a gateway works with.
type Options struct {
	DataCentre string
	Fleet      Fleet
	Decoder    Decoder
	Protocol   exchange.Protocol
	Dial       exchange.DialFunc
	Bounds     Bounds
	Random     *rand.Rand
	Log        *slog.Logger
	Stats      *stats.Registry
}

// New returns a gateway that knows no manifest yet. Its connections to other hosts
// end with ctx.
func New(ctx context.Context, o Options) *Gateway {
	g := &Gateway{
		dataCentre: o.DataCentre, fleet: o.Fleet, decoder: o.Decoder, log: o.Log, tally: o.Stats,
		bounds: o.Bounds, random: o.Random, windows: map[string]*budget.Window{},
	}
	g.links.Reset(ctx, o.Log)
	g.limiter.Reset(searchesMost, cutPeriod)
	g.pool.Reset(o.Dial, o.Protocol, func() { g.tally.Add("target-connections-opened", 1) })
	return g
}

// SetBounds takes bounds that have changed.
func (g *Gateway) SetBounds(b Bounds) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b == g.bounds {
		return
	}
	g.bounds = b
	clear(g.windows)
}

// Manifest returns the manifest in force, or nil.
func (g *Gateway) Manifest() *manifest.Manifest { return g.manifest.Load() }

// Ready reports whether the gateway knows what to serve and where.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed && g.manifest.Load() != nil
}

// Healthy reports whether most of the last searches were answered.
func (g *Gateway) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.servedAt) > ableAfter || g.served >= ableShare
}

// ended notes whether a search was answered. The gateway is locked.
func (g *Gateway) ended(now time.Time, answered bool) {
	if now.Sub(g.servedAt) > ableAfter {
		g.served = 1
	}
	g.served *= 1 - servedGain
	if answered {
		g.served += servedGain
	}
	g.servedAt = now
}

// SetShutdownDeadline takes that the host stops: requests that still come are ended by then.
func (g *Gateway) SetShutdownDeadline(at time.Time) { g.ends.Store(&at) }

// PartsSent returns the number of parts that this host has sent, for itself or for other
// hosts.
func (g *Gateway) PartsSent() int64 { return g.parts.Load() }

// InFlight returns the number of requests under way.
func (g *Gateway) InFlight() int { return int(g.running.Load()) }

// RunMaintenance does what is due now and then, until ctx ends.
func (g *Gateway) RunMaintenance(ctx context.Context) {
	const period, pruneEach = 250 * time.Millisecond, 16
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		g.tidy(time.Now())
		if n%pruneEach == 0 {
			g.pool.Prune(time.Now())
		}
	}
}

func (g *Gateway) tidy(now time.Time) {
	size := g.fleet.Size()
	g.mu.Lock()
	defer g.mu.Unlock()
	var dropped []string
	for _, id := range g.catalog.Expire(now, nil) {
		dropped = append(dropped, id+":not-back")
		g.pool.CloseIdle(id)
		g.board.Forget(id)
	}
	if len(dropped) > 0 {
		g.log.Info("targets", "changes", strings.Join(dropped, " "), "known", g.catalog.Len(), "reason", "not-back-after-trouble")
	}
	for _, w := range g.windows {
		w.SetAllowance(g.bounds.RetryAllowance * budgetShare / float64(size))
	}
	g.board.Expire(now)
	g.catalog.Each(func(k *catalog.Entry) { g.pool.SetMaxConns(k.ID, g.connections(k)) })
	g.cold.Expire(now)
}

// connections returns how many connections this host may have to a target. Hosts in
// the target's data centre have most of them, since parts of others go through
// them.
func (g *Gateway) connections(k *catalog.Entry) int {
	m := g.manifest.Load()
	if m == nil {
		return 1
	}
	s := m.Service(k.Service)
	if s == nil || s.MaxConnections <= 0 {
		return 1
	}
	if k.DataCentre == g.dataCentre {
		return max(1, int(nearShare*float64(s.MaxConnections))/g.fleet.LocalConnectingHosts())
	}
	return max(1, int(farShare*float64(s.MaxConnections))/g.fleet.ConnectingHosts())
}

// window returns the retry budget of a service.
func (g *Gateway) window(now time.Time, service string) *budget.Window {
	w := g.windows[service]
	if w == nil {
		w = &budget.Window{}
		b := g.bounds
		w.Reset(now, time.Duration(windowMargin*float64(b.RetryWindow)), b.RetryFraction, b.RetryAllowance*budgetShare/float64(g.fleet.Size()))
		g.windows[service] = w
	}
	return w
}

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
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/latency"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/stats"
)

// Change is the decoded content of a store item. At most one of Manifest, Target,
// DeletedTarget, DataCentre and Host is set.
type Change struct {
	Manifest *manifest.Manifest
	Target   *catalog.Target
	// DeletedTarget is the ID of a target that is no longer in the store.
	DeletedTarget string
	// DataCentre is a data centre that the operators evacuate or, if Restored is set,
	// use again. Lost is set, beside Restored, if the store has lost the entry of the
	// evacuation.
	DataCentre string
	Restored   bool
	Lost       bool
	// Host is a host whose record was written to the store.
	Host *peers.Host
}

// Decoder decodes items of the store.
type Decoder interface {
	// Decode returns the content of an item. For a target whose item was deleted or
	// cannot be decoded it sets DeletedTarget, so that the target is no longer used.
	Decode(feed.Item) (Change, error)
}

// Fleet gives access to the other hosts.
type Fleet interface {
	// LocalConnectingHosts and ConnectingHosts return the number of hosts that share the
	// connections to a target: those in the data centre of this host, and all.
	LocalConnectingHosts() int
	ConnectingHosts() int
	// Senders returns the number of hosts among which the allowance for retries is
	// divided.
	Senders() int
	// AddHost adds a host that has a record in the store.
	AddHost(peers.Host)
	// SetSizeKnown records that all hosts with a record in the store have been added.
	SetSizeKnown()
	// RendezvousRank returns the number of live hosts that rank before this one for the
	// key by rendezvous hashing.
	RendezvousRank(key string) int
	// AppendRelays appends to dst the addresses at which the active hosts of another data
	// centre accept parts to relay.
	AppendRelays(dst []string, dataCentre string) []string
}

// Gateway serves requests. Use New to create one. Its methods are safe for concurrent
// use.
type Gateway struct {
	startedAt  time.Time
	dataCentre string
	fleet      Fleet
	decoder    Decoder
	log        *slog.Logger
	stats      *stats.Registry
	pool       exchange.Pool
	relays     relay.Connections
	latencies  latency.Histograms
	manifest   atomic.Pointer[manifest.Manifest]
	// requests is the number of requests in flight.
	requests  atomic.Int64
	partsSent atomic.Int64
	// shutdownDeadline is the time by which the host has stopped, or nil.
	shutdownDeadline atomic.Pointer[time.Time]

	mu           sync.Mutex
	bounds       Bounds
	catalog      catalog.Catalog
	tracker      replicas.Tracker
	splitter     manifest.Splitter
	retryBudgets retryBudgets
	coldStarts   replicas.ColdStartLimiter
	random       *rand.Rand
	// listed reports that a full list of the store has been applied.
	listed  bool
	limiter admission.Limiter
	// answeredShare is a moving average of the share of searches that were answered, and
	// lastSearchAt the time at which the last one ended.
	answeredShare float64
	lastSearchAt  time.Time
	// targetChanges describes the targets that changed, for the log.
	targetChanges []string
}

// Options are the dependencies and settings of a gateway.
type Options struct {
	DataCentre string
	Fleet      Fleet
	Decoder    Decoder
	Protocol   exchange.Protocol
	Dial       exchange.DialFunc
	Bounds     Bounds
	// AnswerMemory bounds the memory in bytes for the answers of targets; 0 stands for a
	// default.
	AnswerMemory int64
	Random       *rand.Rand
	Log          *slog.Logger
	Stats        *stats.Registry
	// Traffic counts the bytes of parts, sent by this host or through others.
	Traffic *traffic.Meter
}

// New returns a gateway without a manifest. Its connections to other hosts are closed
// when ctx ends.
func New(ctx context.Context, o Options) *Gateway {
	g := &Gateway{
		dataCentre: o.DataCentre, fleet: o.Fleet, decoder: o.Decoder, log: o.Log, stats: o.Stats,
		startedAt: time.Now(), bounds: o.Bounds, random: o.Random,
	}
	g.retryBudgets.reset(g.startedAt, o.Random)
	g.retryBudgets.setLimit(g.startedAt, g.bounds.retryLimit(), g.fleet.Senders())
	g.relays.Reset(ctx, o.Log, o.Traffic)
	g.limiter.Reset(maxSearches, limitCutPeriod)
	g.pool.Reset(o.Dial, o.Protocol, func() { g.stats.Add("target-connections-opened", 1) }, o.Traffic)
	g.pool.SetMemoryLimit(o.AnswerMemory)
	return g
}

// SetBounds replaces the bounds. What the retry budgets have saved up stays.
func (g *Gateway) SetBounds(b Bounds) {
	senders := g.fleet.Senders()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bounds = b
	g.retryBudgets.setLimit(time.Now(), b.retryLimit(), senders)
}

// SetAnswerMemory changes the bound on the memory in bytes for the answers of targets; 0 stands
// for a default.
func (g *Gateway) SetAnswerMemory(n int64) { g.pool.SetMemoryLimit(n) }

// Manifest returns the manifest in force, or nil.
func (g *Gateway) Manifest() *manifest.Manifest { return g.manifest.Load() }

// Ready reports whether the gateway has a manifest and a full list of the targets.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed && g.manifest.Load() != nil
}

// Listed reports whether a full list of the store, with the records of all hosts, has been
// applied.
func (g *Gateway) Listed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listed
}

// Healthy reports whether most of the recent searches were answered, or there were none.
func (g *Gateway) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.lastSearchAt) > healthWindow || g.answeredShare >= healthyShare
}

// recordSearch records whether a search was answered. The gateway is locked.
func (g *Gateway) recordSearch(now time.Time, answered bool) {
	if now.Sub(g.lastSearchAt) > healthWindow {
		g.answeredShare = 1
	}
	g.answeredShare *= 1 - answeredWeight
	if answered {
		g.answeredShare += answeredWeight
	}
	g.lastSearchAt = now
}

// SetShutdownDeadline records that the host stops: requests that arrive from now on end
// by the deadline.
func (g *Gateway) SetShutdownDeadline(at time.Time) { g.shutdownDeadline.Store(&at) }

// PartsSent returns the number of parts that this host has sent to targets, for its own
// requests or on behalf of other hosts.
func (g *Gateway) PartsSent() int64 { return g.partsSent.Load() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.requests.Load()) }

// RunMaintenance expires targets, connections and budgets periodically until ctx ends.
func (g *Gateway) RunMaintenance(ctx context.Context) {
	const period, periodsPerPrune = 250 * time.Millisecond, 16
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		g.maintain(time.Now())
		if n%periodsPerPrune == 0 {
			g.pool.Prune(time.Now())
		}
	}
}

// maintain drops expired targets and adjusts budgets and connection limits to the fleet.
func (g *Gateway) maintain(now time.Time) {
	senders := g.fleet.Senders()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, dataCentre := range g.catalog.ExpireEvacuations(now, nil) {
		g.log.Info("data centre evacuation changed", "data-centre", dataCentre, "out", false, "reason", "entry-lost")
	}
	for _, t := range g.catalog.ReleaseHeld(now, nil) {
		g.log.Info("target of an earlier report used again", "target", t.ID, "service", t.Service, "sequence", t.Sequence)
		g.putTarget(now, t, false)
	}
	g.targetChanges = g.targetChanges[:0]
	var dropped []string
	for _, id := range g.catalog.Expire(now, nil) {
		dropped = append(dropped, id+":not-back")
		g.pool.CloseIdle(id)
		g.tracker.Forget(id)
	}
	if len(dropped) > 0 {
		g.log.Info("targets", "changes", strings.Join(dropped, " "), "known", g.catalog.Len(), "reason", "not-back-after-trouble")
	}
	g.retryBudgets.setLimit(now, g.bounds.retryLimit(), senders)
	g.retryBudgets.logSpending(now, g.log)
	g.tracker.Expire(now)
	g.catalog.Each(func(e *catalog.Entry) { g.pool.SetMaxConns(e.ID, g.connectionLimit(e)) })
	g.coldStarts.Expire(now)
}

// connectionLimit returns the maximum number of connections of this host to a target.
// Hosts in the target's data centre get most of them, because they relay the parts of
// hosts elsewhere.
func (g *Gateway) connectionLimit(e *catalog.Entry) int {
	m := g.manifest.Load()
	if m == nil {
		return 1
	}
	s := m.Service(e.Service)
	if s == nil || s.MaxConnections <= 0 {
		return 1
	}
	if e.DataCentre == g.dataCentre {
		return max(1, int(localConnectionShare*float64(s.MaxConnections))/g.fleet.LocalConnectingHosts())
	}
	return max(1, int(remoteConnectionShare*float64(s.MaxConnections))/g.fleet.ConnectingHosts())
}

package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"fescuerill/host"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/schema/fleet"
	"fescuerill/internal/stats"
)

const (
	// removeDeadAfter is how long a dead host stays a member.
	removeDeadAfter = 20 * time.Second
	// maxDiscoveryProbes is the number of hosts that are probed as soon as they are
	// discovered through the store. After that only active hosts are, as the others
	// discover this host through the store too.
	maxDiscoveryProbes = 16
	// minTickInterval is the minimum time between two checks whether a probe is due.
	minTickInterval = 5 * time.Millisecond
)

// Host is another host, as this host knows it.
type Host struct {
	// Address is the address for messages of other hosts.
	Address     string
	DataCentre  string
	Incarnation string
	// Cores is the number of processor cores available to the host.
	Cores float64
	// Active is set if the record of the host in the store says that it serves callers.
	// Each leaves it unset.
	Active bool
	State  host.State
}

// Self describes this host to the others.
type Self struct {
	Address     string
	DataCentre  string
	Incarnation string
	Cores       float64
}

// Peers tracks the other hosts. Start creates one. Its methods are safe for concurrent use.
type Peers struct {
	ctx     context.Context
	self    Self
	log     *slog.Logger
	stats   *stats.Registry
	meter   *traffic.Meter
	conn    net.PacketConn
	updates UpdateSource

	mu          sync.Mutex
	members     host.Membership
	dataCentres map[string]string
	cores       map[string]float64
	// withoutEra holds, by address, until when a host is not followed as reader since it knows
	// of no eras of the store.
	withoutEra map[string]time.Time
	loads      loads
	outages    OutageDetector
	// recovering holds the data centres whose silent hosts are being probed.
	recovering map[string]bool
	// discoveryProbes is the number of hosts that were probed when they were discovered
	// through the store.
	discoveryProbes int
	diedAt          map[string]time.Time
	startedAt       time.Time
	sizeKnown       bool
	lastProbeNumber int
	pending         map[int]probe
	// probesDue wakes the loop that sends probes.
	probesDue chan struct{}
}

// Start probes other hosts and answers their probes over the datagram socket until ctx
// ends. Bytes sent to and received from other hosts are counted in meter.
func Start(ctx context.Context, self Self, conn net.PacketConn, random *rand.Rand, log *slog.Logger, registry *stats.Registry, meter *traffic.Meter) *Peers {
	p := &Peers{
		ctx: ctx, self: self, conn: conn, log: log, stats: registry, meter: meter,
		dataCentres: map[string]string{}, cores: map[string]float64{}, diedAt: map[string]time.Time{}, pending: map[int]probe{}, recovering: map[string]bool{}, withoutEra: map[string]time.Time{},
		startedAt: time.Now(), probesDue: make(chan struct{}, 1),
	}
	p.members.Reset(time.Now(), self.Address, self.Incarnation, random)
	go p.receive()
	go p.tick(ctx)
	return p
}

// discover adds a host and reports whether it, or its incarnation, is new. The caller must
// hold p.mu.
func (p *Peers) discover(now time.Time, h Host) bool {
	if h.Address == p.self.Address {
		return false
	}
	p.dataCentres[h.Address] = h.DataCentre
	p.cores[h.Address] = h.Cores
	if !p.members.Add(now, h.Address, h.Incarnation) {
		return false
	}
	delete(p.diedAt, h.Address)
	p.log.Info("host discovered", "host", h.Address, "data-centre", h.DataCentre, "incarnation", h.Incarnation)
	return true
}

// Leave notifies other hosts that this one is leaving: all of them if callers have its
// address, and those of its data centre otherwise. The others learn it from these.
func (p *Peers) Leave(active bool) {
	p.mu.Lock()
	p.members.Leave()
	var notified []string
	p.members.Each(func(u host.Update) {
		if u.State != host.Dead && (active || p.dataCentres[u.ID] == p.self.DataCentre) {
			notified = append(notified, u.ID)
		}
	})
	p.mu.Unlock()
	for _, a := range notified {
		p.send(a, fleet.MessageKindNotice, 0, "")
	}
}

// Each calls f for each known other host.
func (p *Peers) Each(f func(Host)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Each(func(u host.Update) {
		f(Host{Address: u.ID, DataCentre: p.dataCentres[u.ID], Incarnation: u.Incarnation, Cores: p.cores[u.ID], State: p.state(u)})
	})
}

// state returns the state of a host; one that is down with its data centre is suspect.
// The caller must hold p.mu.
func (p *Peers) state(u host.Update) host.State {
	if u.State == host.Alive && p.outages.HostDown(p.dataCentres[u.ID], u.ID) {
		return host.Suspect
	}
	return u.State
}

func (p *Peers) tick(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		before := p.states()
		due := p.nextProbes(now)
		p.recordChanges(before, now)
		for _, dead := range p.members.RemoveDead(now, removeDeadAfter, nil) {
			delete(p.dataCentres, dead)
			delete(p.cores, dead)
			delete(p.withoutEra, dead)
			p.outages.RemoveHost(dead)
		}
		wait := p.members.NextTick().Sub(now)
		p.mu.Unlock()
		p.ProbeAll(due)
		t := time.NewTimer(max(wait, minTickInterval))
		select {
		case <-t.C:
		case <-p.probesDue:
		case <-ctx.Done():
		}
		t.Stop()
	}
	_ = p.conn.Close()
}

// states returns the states of the other hosts by address.
func (p *Peers) states() map[string]host.State {
	states := map[string]host.State{}
	p.members.Each(func(u host.Update) { states[u.ID] = u.State })
	return states
}

// recordChanges logs and counts the hosts whose state differs from before, and checks the
// data centres of those that are suspect now. The caller must hold p.mu.
func (p *Peers) recordChanges(before map[string]host.State, now time.Time) {
	p.members.Each(func(u host.Update) {
		old, known := before[u.ID]
		if !known || old == u.State {
			return
		}
		if u.State == host.Dead {
			p.diedAt[u.ID] = now
		}
		if old == host.Dead {
			delete(p.diedAt, u.ID)
		}
		if u.State == host.Suspect {
			go p.checkDataCentre(u.ID)
			p.wakeTick()
		}
		p.stats.Add("host-"+u.State.String(), 1)
		p.log.Info("host state", "host", u.ID, "before", old.String(), "state", u.State.String(), "version", u.Version)
	})
}

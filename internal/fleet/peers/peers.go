package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/host"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/schema/fleet"
	"fescuerill/internal/stats"
)

const (
	// indirectTimeout is the time limit of the indirect probes that other hosts make of
	// a host that did not answer.
	indirectTimeout = 300 * time.Millisecond
	// removeDeadAfter is how long a dead host stays a member.
	removeDeadAfter = 20 * time.Second
	// countDeadFor is how long a dead host still counts in the size of the fleet, since
	// the parts that it sent may still be in flight.
	countDeadFor = 15 * time.Second
	// assumedSize is the minimum size of the fleet that is assumed until its size is
	// known, for at most assumedFor; assumedLocalSize is the same for the data centre.
	assumedSize      = 12
	assumedLocalSize = 4
	assumedFor       = 3 * time.Second
	// maxDiscoveryProbes is the number of hosts that are probed as soon as they are
	// discovered through the store. After that only active hosts are, as the others
	// discover this host through the store too.
	maxDiscoveryProbes = 16
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
	loads       loads
	outages     OutageDetector
	// discoveryProbes is the number of hosts that were probed when they were discovered
	// through the store.
	discoveryProbes int
	diedAt          map[string]time.Time
	startedAt       time.Time
	sizeKnown       bool
	lastProbeNumber int
	pending         map[int]probe
}

// probe is a probe in flight. requester is the address of the host on whose behalf it is
// made, or "" for this host, and requesterNumber that host's number of the probe.
type probe struct {
	address         string
	requester       string
	requesterNumber int
}

// Start probes other hosts and answers their probes over the datagram socket until ctx
// ends. Bytes sent to and received from other hosts are counted in meter.
func Start(ctx context.Context, self Self, conn net.PacketConn, random *rand.Rand, log *slog.Logger, registry *stats.Registry, meter *traffic.Meter) *Peers {
	p := &Peers{
		ctx: ctx, self: self, conn: conn, log: log, stats: registry, meter: meter,
		dataCentres: map[string]string{}, cores: map[string]float64{}, diedAt: map[string]time.Time{}, pending: map[int]probe{},
		startedAt: time.Now(),
	}
	p.members.Reset(time.Now(), self.Address, self.Incarnation, random)
	go p.receive()
	go p.tick(ctx)
	return p
}

// ProbeAll probes hosts that are known only by their addresses, such as seeds. They
// discover this host through its probe, and this host discovers them through their
// answers.
func (p *Peers) ProbeAll(addresses []string) {
	for _, a := range addresses {
		if a != p.self.Address {
			p.probe(a, "", 0)
		}
	}
}

// ProbeOtherDataCentres probes up to maxProbes live hosts of other data centres now,
// rather than in their turn.
func (p *Peers) ProbeOtherDataCentres(maxProbes int) {
	p.mu.Lock()
	var all []string
	p.members.Each(func(u host.Update) {
		if u.State == host.Alive && p.dataCentres[u.ID] != p.self.DataCentre && len(all) < maxProbes {
			all = append(all, u.ID)
		}
	})
	p.mu.Unlock()
	for _, a := range all {
		p.probe(a, "", 0)
	}
}

// Probe probes a host now rather than in its turn.
func (p *Peers) Probe(address string) { p.probe(address, "", 0) }

// AddHost adds a host that has a record in the store. A new host is probed at once if it
// is active or if fewer than maxDiscoveryProbes hosts have been probed in this way.
func (p *Peers) AddHost(h Host) {
	p.mu.Lock()
	added := p.discover(time.Now(), h)
	probeNow := added && (h.Active || p.discoveryProbes < maxDiscoveryProbes)
	if probeNow {
		p.discoveryProbes++
	}
	p.mu.Unlock()
	if probeNow {
		p.probe(h.Address, "", 0)
	}
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

// Size returns the number of hosts of the fleet, including this one and those that died
// within countDeadFor. Until the size is known, it is at least assumedSize.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := 1
	p.members.Each(func(u host.Update) {
		if u.State != host.Dead {
			n++
		}
	})
	for a, at := range p.diedAt {
		if now.Sub(at) > countDeadFor {
			delete(p.diedAt, a)
			continue
		}
		n++
	}
	if !p.sizeKnown && now.Sub(p.startedAt) < assumedFor {
		n = max(n, assumedSize)
	}
	return n
}

// LocalSize returns the number of hosts in the data centre of this one that are not dead,
// including this one. Until the size of the fleet is known, it is at least
// assumedLocalSize.
func (p *Peers) LocalSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	p.members.Each(func(u host.Update) {
		if u.State != host.Dead && p.dataCentres[u.ID] == p.self.DataCentre {
			n++
		}
	})
	if !p.sizeKnown && time.Since(p.startedAt) < assumedFor {
		n = max(n, assumedLocalSize)
	}
	return n
}

// SizeKnown reports whether the size of the fleet is known, or assumedFor has passed.
func (p *Peers) SizeKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizeKnown || time.Since(p.startedAt) >= assumedFor
}

// SetSizeKnown records that all hosts with a record in the store have been added.
func (p *Peers) SetSizeKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizeKnown = true
}

func (p *Peers) tick(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		before := p.states()
		id := p.members.Tick(now)
		p.recordChanges(before, now)
		for _, dead := range p.members.RemoveDead(now, removeDeadAfter, nil) {
			delete(p.dataCentres, dead)
			delete(p.cores, dead)
			p.outages.RemoveHost(dead)
		}
		wait := p.members.NextTick().Sub(now)
		p.mu.Unlock()
		if id != "" {
			p.probe(id, "", 0)
		}
		t := time.NewTimer(max(wait, 10*time.Millisecond))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
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
		}
		p.stats.Add("host-"+u.State.String(), 1)
		p.log.Info("host state", "host", u.ID, "before", old.String(), "state", u.State.String(), "version", u.Version)
	})
}

// probe probes a host, on behalf of this host or of a requester.
func (p *Peers) probe(address, requester string, requesterNumber int) {
	p.mu.Lock()
	p.lastProbeNumber++
	number := p.lastProbeNumber
	p.pending[number] = probe{address: address, requester: requester, requesterNumber: requesterNumber}
	p.mu.Unlock()
	p.send(address, fleet.MessageKindProbe, number, "")
	time.AfterFunc(host.ProbeTimeout, func() { p.probeTimedOut(number, address, requester) })
}

func (p *Peers) probeTimedOut(number int, address, requester string) {
	p.mu.Lock()
	_, pending := p.pending[number]
	var helpers []string
	if pending && requester == "" {
		helpers = p.members.RandomAlive(nil, host.IndirectProbes, address)
	}
	p.mu.Unlock()
	if !pending || p.ctx.Err() != nil {
		return
	}
	p.checkDataCentre(address)
	for _, h := range helpers {
		p.send(h, fleet.MessageKindForward, number, address)
	}
	time.AfterFunc(indirectTimeout, func() { p.probeFailed(number, address, requester) })
}

func (p *Peers) probeFailed(number int, address, requester string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, pending := p.pending[number]; !pending || p.ctx.Err() != nil {
		return
	}
	delete(p.pending, number)
	if requester != "" {
		return
	}
	if p.outages.Down(p.dataCentres[address]) {
		return
	}
	now := time.Now()
	before := p.states()
	p.members.ProbeFailed(now, address)
	p.recordChanges(before, now)
}

func (p *Peers) send(to string, kind fleet.MessageKind, number int, about string) {
	p.mu.Lock()
	m := fleet.Message{
		Kind: kind, From: p.self.Address, Incarnation: p.self.Incarnation,
		DataCentre: p.self.DataCentre, Cores: p.self.Cores, Number: number, News: []fleet.HostUpdate{},
	}
	for _, u := range p.members.UpdatesToSend(nil) {
		m.News = append(m.News, fleet.HostUpdate{
			Host: u.ID, Incarnation: u.Incarnation, Version: u.Version, State: fleet.HostUpdateState(u.State.String()),
		})
	}
	p.mu.Unlock()
	if about != "" {
		m.About = &about
	}
	text, err := m.MarshalMsg(nil)
	if err != nil {
		p.log.Error("encode datagram failed", "error", err)
		return
	}
	address, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		p.log.Error("resolve address of host failed", "host", to, "error", err)
		return
	}
	if _, err := p.conn.WriteTo(text, address); err != nil && !errors.Is(err, net.ErrClosed) {
		p.stats.Add("datagrams-not-sent", 1)
		return
	}
	p.meter.Sent(traffic.Probe, p.scope(to), len(text))
}

// scope returns where another host is.
func (p *Peers) scope(address string) traffic.Scope {
	p.mu.Lock()
	defer p.mu.Unlock()
	dataCentre, known := p.dataCentres[address]
	if !known {
		return traffic.Elsewhere
	}
	return traffic.ScopeOf(p.self.DataCentre, dataCentre)
}

func (p *Peers) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.stats.Add("datagrams-not-received", 1)
			time.Sleep(time.Millisecond)
			continue
		}
		var m fleet.Message
		if _, err := m.UnmarshalMsg(buffer[:n]); err != nil || !validSender(m) {
			p.stats.Add("datagrams-unreadable", 1)
			continue
		}
		p.meter.Received(traffic.Probe, traffic.ScopeOf(p.self.DataCentre, m.DataCentre), n)
		p.handleMessage(m)
	}
}

// validSender reports whether the sender of a message has a valid address and an
// incarnation.
func validSender(m fleet.Message) bool {
	_, err := netip.ParseAddrPort(m.From)
	return err == nil && m.Incarnation != ""
}

func (p *Peers) handleMessage(m fleet.Message) {
	now := time.Now()
	p.mu.Lock()
	before := p.states()
	discovered := p.discover(now, Host{Address: m.From, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Cores: m.Cores})
	p.members.HandleMessage(now, m.From, decodeHostUpdates(m.News))
	recovered := p.outages.MessageReceived(now, m.DataCentre, m.From)
	p.recordChanges(before, now)
	var answered probe
	if m.Kind == fleet.MessageKindAnswer {
		answered = p.pending[m.Number]
		delete(p.pending, m.Number)
	}
	p.mu.Unlock()
	if recovered {
		p.probeRecovered(m.DataCentre, 1)
	}
	switch {
	case m.Kind == fleet.MessageKindProbe:
		p.send(m.From, fleet.MessageKindAnswer, m.Number, "")
	case m.Kind == fleet.MessageKindForward && m.About != nil:
		p.probe(*m.About, m.From, m.Number)
	case answered.requester != "":
		p.send(answered.requester, fleet.MessageKindAnswer, answered.requesterNumber, "")
	}
	if discovered && m.Kind == fleet.MessageKindAnswer {
		p.log.Debug("new host answered a probe", "host", m.From)
	}
}

func decodeHostUpdates(items []fleet.HostUpdate) []host.Update {
	var updates []host.Update
	for _, u := range items {
		updates = append(updates, host.Update{ID: u.Host, Incarnation: u.Incarnation, Version: u.Version, State: host.ParseState(string(u.State))})
	}
	return updates
}

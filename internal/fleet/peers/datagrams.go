package peers

import (
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"fescuerill/host"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/schema/fleet"
)

// indirectTimeout is the time limit of the indirect probes that other hosts make of a host
// that did not answer.
const indirectTimeout = 300 * time.Millisecond

// probe is a probe in flight. requester is the address of the host on whose behalf it is
// made, or "" for this host, and requesterNumber that host's number of the probe.
type probe struct {
	address         string
	requester       string
	requesterNumber int
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
// is active, if it was removed as dead before, or if fewer than maxDiscoveryProbes hosts have
// been probed in this way.
func (p *Peers) AddHost(h Host) {
	p.mu.Lock()
	added := p.discover(time.Now(), h)
	probeNow := added && (h.Active || p.discoveryProbes < maxDiscoveryProbes || p.members.State(h.Address) != host.Alive)
	if probeNow {
		p.discoveryProbes++
	}
	p.mu.Unlock()
	if probeNow {
		p.probe(h.Address, "", 0)
	}
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
		p.members.ProbeUnanswered(address)
	}
	p.mu.Unlock()
	if !pending || p.ctx.Err() != nil {
		return
	}
	p.checkDataCentre(address)
	p.wakeTick()
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
	wasSilent := before[m.From] == host.Suspect || before[m.From] == host.Dead
	discovered := p.discover(now, Host{Address: m.From, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Cores: m.Cores})
	p.members.HandleMessage(now, m.From, decodeHostUpdates(m.News))
	recovered := p.outages.MessageReceived(now, m.DataCentre, m.From)
	p.recordChanges(before, now)
	var answered probe
	if m.Kind == fleet.MessageKindAnswer {
		answered = p.pending[m.Number]
		delete(p.pending, m.Number)
	}
	indirectly := answered.address != "" && answered.requester == "" && answered.address != m.From
	if indirectly {
		p.members.AnsweredIndirectly(answered.address)
	}
	p.mu.Unlock()
	if recovered {
		p.probeRecovered(m.DataCentre)
	}
	if wasSilent || indirectly {
		p.wakeTick()
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

package peers

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/host"
	"fescuerill/internal/schema/fleet"
	"fescuerill/internal/stats"
)

const (
	// indirect is how long the helpers have to reach a host that did not answer.
	indirect = 300 * time.Millisecond
	// forgetAfter is how long a dead host is remembered.
	forgetAfter = 20 * time.Second
	// countAfter is how long a host that is gone still counts in the size of
	// the fleet, since what it sent may still be at work.
	countAfter = 15 * time.Second
	// firstSize is the size of the fleet that is assumed until it is known, for
	// at most firstTime.
	firstSize = 12
	firstNear = 4
	firstTime = 3 * time.Second
	// greetMost is the number of hosts met through the store that are probed at once,
	// beside those that carry callers. The others meet this host through the store too.
	greetMost = 16
)

// Host is what is known of another host.
type Host struct {
	// Address is where other hosts reach it.
	Address     string
	DataCentre  string
	Incarnation string
	// Cores is the processor cores that it may use.
	Cores float64
	// Active says, of a record in the store, that the host carries callers.
	Active bool
	State  host.State
}

// Self is what this host tells the others of itself.
type Self struct {
	Address     string
	DataCentre  string
	Incarnation string
	Cores       float64
}

// Peers follows the other hosts. Start makes one. Its methods may be called
// from several goroutines.
type Peers struct {
	ctx   context.Context
	self  Self
	log   *slog.Logger
	tally *stats.Registry
	conn  net.PacketConn
	feed  UpdateSource

	mu      sync.Mutex
	members host.Membership
	centres map[string]string
	cores   map[string]float64
	loads   loads
	outages Outages
	// greetings counts the hosts that were met through the store.
	greetings int
	gone      map[string]time.Time
	began     time.Time
	listed    bool
	number    int
	pending   map[int]probe
}

// probe is a probe under way; asker is who wants to know, or "" for this host.
type probe struct {
	about  string
	asker  string
	number int
}

// Start follows other hosts over the datagram socket until ctx ends.
func Start(ctx context.Context, self Self, conn net.PacketConn, random *rand.Rand, log *slog.Logger, t *stats.Registry) *Peers {
	p := &Peers{
		ctx: ctx, self: self, conn: conn, log: log, tally: t,
		centres: map[string]string{}, cores: map[string]float64{}, gone: map[string]time.Time{}, pending: map[int]probe{},
		began: time.Now(),
	}
	p.members.Reset(time.Now(), self.Address, self.Incarnation, random)
	go p.receive()
	go p.tick(ctx)
	return p
}

// ProbeAll probes hosts whose run is not known, so that they come to know this
// one.
func (p *Peers) ProbeAll(addresses []string) {
	for _, a := range addresses {
		if a != p.self.Address {
			p.probe(a, "", 0)
		}
	}
}

// ProbeOtherDataCentres probes live hosts of other data centres now, at most a number of
// them, rather than in their turn.
func (p *Peers) ProbeOtherDataCentres(most int) {
	p.mu.Lock()
	var all []string
	p.members.Each(func(n host.Update) {
		if n.State == host.Alive && p.centres[n.ID] != p.self.DataCentre && len(all) < most {
			all = append(all, n.ID)
		}
	})
	p.mu.Unlock()
	for _, a := range all {
		p.probe(a, "", 0)
	}
}

// Probe probes a host now rather than in its turn.
func (p *Peers) Probe(address string) { p.probe(address, "", 0) }

// AddHost takes what the store says of a host.
func (p *Peers) AddHost(h Host) {
	p.mu.Lock()
	fresh := p.meet(time.Now(), h)
	greet := fresh && (h.Active || p.greetings < greetMost)
	if greet {
		p.greetings++
	}
	p.mu.Unlock()
	if greet {
		p.probe(h.Address, "", 0)
	}
}

// meet takes a host that is not known and reports whether it is new.
func (p *Peers) meet(now time.Time, h Host) bool {
	if h.Address == p.self.Address {
		return false
	}
	p.centres[h.Address] = h.DataCentre
	p.cores[h.Address] = h.Cores
	if !p.members.Add(now, h.Address, h.Incarnation) {
		return false
	}
	delete(p.gone, h.Address)
	p.log.Info("host met", "host", h.Address, "data-centre", h.DataCentre, "incarnation", h.Incarnation)
	return true
}

// Leave tells the other hosts that this one leaves.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.members.Leave()
	var all []string
	p.members.Each(func(n host.Update) {
		if n.State != host.Dead {
			all = append(all, n.ID)
		}
	})
	p.mu.Unlock()
	for _, a := range all {
		p.probe(a, "", 0)
	}
}

// Each calls f for each other host that is known.
func (p *Peers) Each(f func(Host)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Each(func(n host.Update) {
		f(Host{Address: n.ID, DataCentre: p.centres[n.ID], Incarnation: n.Incarnation, Cores: p.cores[n.ID], State: p.state(n)})
	})
}

// state returns the state of a host; one that is lost with its data centre is suspect.
// Peers is locked.
func (p *Peers) state(n host.Update) host.State {
	if n.State == host.Alive && p.outages.Lost(p.centres[n.ID], n.ID) {
		return host.Suspect
	}
	return n.State
}

// Size returns the number of hosts of the fleet, with this one and those that
// died lately.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := 1
	p.members.Each(func(news host.Update) {
		if news.State != host.Dead {
			n++
		}
	})
	for a, at := range p.gone {
		if now.Sub(at) > countAfter {
			delete(p.gone, a)
			continue
		}
		n++
	}
	if !p.listed && now.Sub(p.began) < firstTime {
		n = max(n, firstSize)
	}
	return n
}

// LocalSize returns the number of live hosts in the data centre of this one, which
// counts. Until the fleet is known it is taken for larger.
func (p *Peers) LocalSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	p.members.Each(func(news host.Update) {
		if news.State != host.Dead && p.centres[news.ID] == p.self.DataCentre {
			n++
		}
	})
	if !p.listed && time.Since(p.began) < firstTime {
		n = max(n, firstNear)
	}
	return n
}

// SizeKnown reports whether the size of the fleet is known, or has to be taken as it is.
func (p *Peers) SizeKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed || time.Since(p.began) >= firstTime
}

// SetSizeKnown takes that all hosts with a record in the store have been met.
func (p *Peers) SetSizeKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = true
}

func (p *Peers) tick(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		now := time.Now()
		before := p.states()
		id := p.members.Tick(now)
		p.report(before, now)
		for _, dead := range p.members.RemoveDead(now, forgetAfter, nil) {
			delete(p.centres, dead)
			delete(p.cores, dead)
			p.outages.Forget(dead)
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

// states returns what is thought of the hosts.
func (p *Peers) states() map[string]host.State {
	states := map[string]host.State{}
	p.members.Each(func(n host.Update) { states[n.ID] = n.State })
	return states
}

// report logs the hosts of which something else is thought than before.
func (p *Peers) report(before map[string]host.State, now time.Time) {
	p.members.Each(func(n host.Update) {
		old, known := before[n.ID]
		if !known || old == n.State {
			return
		}
		if n.State == host.Dead {
			p.gone[n.ID] = now
		}
		if old == host.Dead {
			delete(p.gone, n.ID)
		}
		if n.State == host.Suspect {
			go p.doubt(n.ID)
		}
		p.tally.Add("host-"+n.State.String(), 1)
		p.log.Info("host state", "host", n.ID, "before", old.String(), "state", n.State.String(), "version", n.Version)
	})
}

// probe asks a host whether it is alive, for itself or for another host.
func (p *Peers) probe(about, asker string, number int) {
	p.mu.Lock()
	p.number++
	mine := p.number
	p.pending[mine] = probe{about: about, asker: asker, number: number}
	p.mu.Unlock()
	p.send(about, fleet.MessageKindProbe, mine, "")
	time.AfterFunc(host.ProbeTimeout, func() { p.unanswered(mine, about, asker) })
}

func (p *Peers) unanswered(mine int, about, asker string) {
	p.mu.Lock()
	_, open := p.pending[mine]
	var helpers []string
	if open && asker == "" {
		helpers = p.members.RandomAlive(nil, host.IndirectProbes, about)
	}
	p.mu.Unlock()
	if !open || p.ctx.Err() != nil {
		return
	}
	p.doubt(about)
	for _, h := range helpers {
		p.send(h, fleet.MessageKindForward, mine, about)
	}
	time.AfterFunc(indirect, func() { p.failed(mine, about, asker) })
}

func (p *Peers) failed(mine int, about, asker string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, open := p.pending[mine]; !open || p.ctx.Err() != nil {
		return
	}
	delete(p.pending, mine)
	if asker != "" {
		return
	}
	if p.outages.Out(p.centres[about]) {
		return
	}
	now := time.Now()
	before := p.states()
	p.members.ProbeFailed(now, about)
	p.report(before, now)
}

func (p *Peers) send(to string, kind fleet.MessageKind, number int, about string) {
	p.mu.Lock()
	m := fleet.Message{
		Kind: kind, From: p.self.Address, Incarnation: p.self.Incarnation,
		DataCentre: p.self.DataCentre, Cores: p.self.Cores, Number: number, News: []fleet.HostUpdate{},
	}
	for _, n := range p.members.UpdatesToSend(nil) {
		m.News = append(m.News, fleet.HostUpdate{
			Host: n.ID, Incarnation: n.Incarnation, Version: n.Version, State: fleet.HostUpdateState(n.State.String()),
		})
	}
	p.mu.Unlock()
	if about != "" {
		m.About = &about
	}
	text, err := json.Marshal(m)
	if err != nil {
		p.log.Error("datagram not written", "error", err)
		return
	}
	address, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		p.log.Error("bad address of a host", "host", to, "error", err)
		return
	}
	if _, err := p.conn.WriteTo(text, address); err != nil && !errors.Is(err, net.ErrClosed) {
		p.tally.Add("datagrams-not-sent", 1)
	}
}

func (p *Peers) receive() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.tally.Add("datagrams-not-received", 1)
			time.Sleep(time.Millisecond)
			continue
		}
		var m fleet.Message
		if err := json.Unmarshal(buffer[:n], &m); err != nil || !valid(m) {
			p.tally.Add("datagrams-unreadable", 1)
			continue
		}
		p.take(m)
	}
}

// valid reports whether the sender of a message is named as a host is.
func valid(m fleet.Message) bool {
	_, err := netip.ParseAddrPort(m.From)
	return err == nil && m.Incarnation != ""
}

func (p *Peers) take(m fleet.Message) {
	now := time.Now()
	p.mu.Lock()
	before := p.states()
	fresh := p.meet(now, Host{Address: m.From, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Cores: m.Cores})
	p.members.HandleMessage(now, m.From, newsOf(m.News))
	back := p.outages.Heard(now, m.DataCentre, m.From)
	p.report(before, now)
	var done probe
	if m.Kind == fleet.MessageKindAnswer {
		done = p.pending[m.Number]
		delete(p.pending, m.Number)
	}
	p.mu.Unlock()
	if back {
		p.back(m.DataCentre, 1)
	}
	switch {
	case m.Kind == fleet.MessageKindProbe:
		p.send(m.From, fleet.MessageKindAnswer, m.Number, "")
	case m.Kind == fleet.MessageKindForward && m.About != nil:
		p.probe(*m.About, m.From, m.Number)
	case done.asker != "":
		p.send(done.asker, fleet.MessageKindAnswer, done.number, "")
	}
	if fresh && m.Kind == fleet.MessageKindAnswer {
		p.log.Debug("host answered a greeting", "host", m.From)
	}
}

func newsOf(items []fleet.HostUpdate) []host.Update {
	var news []host.Update
	for _, n := range items {
		news = append(news, host.Update{ID: n.Host, Incarnation: n.Incarnation, Version: n.Version, State: host.ParseState(string(n.State))})
	}
	return news
}

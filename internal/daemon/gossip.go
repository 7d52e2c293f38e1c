package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuerill/host"
	"fescuerill/internal/link"
	"fescuerill/internal/schema/peer"
	"fescuerill/ring"
)

// Fan-outs and timeouts of the dissemination of updates.
const (
	// firstFanout and secondFanout are the numbers of random hosts that are
	// sent a change: the former at once, the latter after fanoutDelay.
	firstFanout  = 5
	secondFanout = 5
	fanoutDelay  = 500 * time.Millisecond
	// isolationTimeout is how long a host that can reach neither the store nor
	// other hosts goes on accepting new requests.
	isolationTimeout = 10 * time.Second
	// watchersPerDataCentre is the number of hosts in each data centre that
	// watch the store.
	watchersPerDataCentre = 2
)

// gossip detects which hosts are alive, and disseminates the revision of the
// settings and the epoch of the member list.
type gossip struct {
	daemon *Daemon
	// changed wakes disseminateLoop, and unanswered wakes probeLoop. hostsAhead wakes
	// pullLoop; it holds the IDs of hosts with a newer revision or epoch.
	changed    ring.Ring[struct{}]
	unanswered ring.Ring[struct{}]
	hostsAhead ring.Ring[string]

	mu               sync.Mutex
	membership       host.Membership
	lastStoreContact time.Time
}

func newGossip(d *Daemon) *gossip {
	g := &gossip{daemon: d, lastStoreContact: time.Now()}
	g.membership.Reset(time.Now(), d.node.ID(), d.incarnation, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.changed.Reset(1)
	g.unanswered.Reset(1)
	g.hostsAhead.Reset(8)
	return g
}

// setMembers replaces the members by the hosts of a member list.
func (g *gossip) setMembers(members memberList) {
	incarnations := make(map[string]string, len(members.hosts))
	for _, h := range members.hosts {
		incarnations[h.ID] = h.Incarnation
	}
	g.mu.Lock()
	g.membership.SetMembers(time.Now(), incarnations)
	g.mu.Unlock()
	g.changed.Push(struct{}{})
}

// leave marks this host as leaving.
func (g *gossip) leave() {
	g.mu.Lock()
	g.membership.Leave()
	g.mu.Unlock()
	g.changed.Push(struct{}{})
}

// state returns the state of a host as observed.
func (g *gossip) state(id string) host.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.State(id)
}

// isolated reports whether the host has reached neither the store nor another
// host for longer than isolationTimeout. A host that is the only member is
// never isolated. The method also updates lastStoreContact.
func (g *gossip) isolated(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.membership.Len() == 0 {
		return false
	}
	if !g.daemon.fleet.storeFailing() {
		g.lastStoreContact = now
	}
	last := g.lastStoreContact
	if g.membership.LastReceived().After(last) {
		last = g.membership.LastReceived()
	}
	return now.Sub(last) > isolationTimeout
}

// newProbe returns a probe with the state of this host and the pending updates.
func (g *gossip) newProbe() peer.Probe {
	d := g.daemon
	storeFailing := d.fleet.storeFailing()
	p := peer.Probe{
		From: d.node.ID(), Incarnation: d.incarnation, Revision: d.settings.revision(),
		Epoch: d.fleet.currentMembers().Epoch, StoreOut: &storeFailing,
	}
	g.mu.Lock()
	updates := g.membership.UpdatesToSend(nil)
	g.mu.Unlock()
	for _, u := range updates {
		p.News = append(p.News, peer.HostUpdate{ID: u.ID, Incarnation: u.Incarnation, Version: &u.Version, State: u.State.String()})
	}
	return p
}

// handleProbe applies a probe, or the reply to one, from another host.
func (g *gossip) handleProbe(p peer.Probe) {
	updates := make([]host.Update, len(p.News))
	for i, u := range p.News {
		updates[i] = host.Update{ID: u.ID, Incarnation: u.Incarnation, State: host.ParseState(u.State)}
		if u.Version != nil {
			updates[i].Version = *u.Version
		}
	}
	g.mu.Lock()
	g.membership.HandleMessage(time.Now(), p.From, updates)
	g.mu.Unlock()
	if p.Revision > g.daemon.settings.revision() || p.Epoch > g.daemon.fleet.currentMembers().Epoch {
		g.hostsAhead.Push(p.From)
	}
}

// probeLoop probes one random host in each probe interval, and others at once while hosts do
// not reply.
func (g *gossip) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		wait := time.Until(g.membership.NextTick())
		g.mu.Unlock()
		t := time.NewTimer(max(wait, time.Millisecond))
		select {
		case <-t.C:
		case <-g.unanswered.Ready():
			g.unanswered.Drain(nil)
		case <-ctx.Done():
		}
		t.Stop()
		for _, id := range g.nextProbes(time.Now()) {
			g.daemon.goroutines.Go(func() { g.checkHost(ctx, id) })
		}
	}
}

// nextProbes returns the hosts to probe now: the one whose turn it is, and one out of turn.
func (g *gossip) nextProbes(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var due []string
	if id := g.membership.Tick(now); id != "" {
		due = append(due, id)
	}
	if id := g.membership.FollowUp(now, func(string) bool { return true }); id != "" {
		due = append(due, id)
	}
	return due
}

// checkHost probes a host, directly and then through others, and records whether it replied.
func (g *gossip) checkHost(ctx context.Context, id string) {
	if g.probeHost(ctx, id) || ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	g.membership.ProbeUnanswered(id)
	g.mu.Unlock()
	g.unanswered.Push(struct{}{})
	if g.probeIndirectly(ctx, id) {
		return
	}
	g.daemon.stats.Add("hosts-suspected", 1)
	g.mu.Lock()
	g.membership.ProbeFailed(time.Now(), id)
	g.mu.Unlock()
}

// probeHost probes a host directly and reports whether it replied.
func (g *gossip) probeHost(ctx context.Context, id string) bool {
	l := g.daemon.linkTo(id)
	if l == nil {
		return false
	}
	probeCtx, cancel := context.WithTimeout(ctx, host.ProbeTimeout)
	defer cancel()
	var reply peer.Probe
	if l.Call(probeCtx, link.MethodProbe, g.newProbe(), &reply) != nil {
		return false
	}
	g.handleProbe(reply)
	return true
}

func (g *gossip) probeIndirectly(ctx context.Context, id string) bool {
	g.mu.Lock()
	helpers := g.membership.RandomAlive(nil, host.IndirectProbes, id)
	g.mu.Unlock()
	for _, helper := range helpers {
		l := g.daemon.linkTo(helper)
		if l == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, 3*host.ProbeTimeout)
		var reply peer.IndirectProbe
		err := l.Call(callCtx, link.MethodIndirectProbe, peer.IndirectProbe{ID: id}, &reply)
		cancel()
		if err == nil && reply.Alive != nil && *reply.Alive {
			return true
		}
	}
	return false
}

// disseminateLoop sends each change to random hosts at once.
func (g *gossip) disseminateLoop(ctx context.Context) {
	for {
		select {
		case <-g.changed.Ready():
		case <-ctx.Done():
			return
		}
		g.changed.Drain(nil)
		g.probeRandomHosts(ctx, firstFanout)
		pause(ctx, fanoutDelay)
		g.probeRandomHosts(ctx, secondFanout)
	}
}

func (g *gossip) probeRandomHosts(ctx context.Context, n int) {
	g.mu.Lock()
	to := g.membership.RandomAlive(nil, n, "")
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, id := range to {
		calls.Go(func() { g.probeHost(ctx, id) })
	}
	calls.Wait()
}

// pullLoop pulls the settings and the member list from hosts with newer ones.
func (g *gossip) pullLoop(ctx context.Context) {
	for {
		select {
		case <-g.hostsAhead.Ready():
		case <-ctx.Done():
			return
		}
		ids := g.hostsAhead.Drain(nil)
		slices.Sort(ids)
		for _, id := range slices.Compact(ids) {
			if l := g.daemon.linkTo(id); l != nil && ctx.Err() == nil {
				g.daemon.pull(ctx, l)
			}
		}
	}
}

// watchesStore reports whether this host watches the store: the first few live
// hosts of each data centre, in the order of a hash of their IDs, and hosts
// that are in no member list or receive nothing from other hosts.
func (g *gossip) watchesStore() bool {
	members := g.daemon.fleet.currentMembers()
	self, member := members.member(g.daemon.node.ID())
	if !member || g.outOfContact() {
		return true
	}
	before := 0
	for _, h := range members.hosts {
		if h.DataCentre == self.DataCentre && hash(h.ID) < hash(self.ID) && g.state(h.ID) == host.Alive {
			before++
		}
	}
	return before < watchersPerDataCentre
}

func (g *gossip) outOfContact() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.membership.LastReceived()) > isolationTimeout/2
}

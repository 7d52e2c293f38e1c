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

// Sizes and times of the spread of news.
const (
	// firstSpread and secondSpread are the hosts told of a change at once, and
	// again after spreadPause.
	firstSpread  = 5
	secondSpread = 5
	spreadPause  = 500 * time.Millisecond
	// isolation is how long a host that hears neither the store nor others goes
	// on taking new work.
	isolation = 10 * time.Second
	// watchersPerCentre is the number of hosts of each data centre that watch
	// the store.
	watchersPerCentre = 2
)

// gossip follows which hosts are alive, and carries the revision of the
// settings and the epoch from host to host.
type gossip struct {
	daemon *Daemon
	// changed wakes the duty that spreads, behind the one that pulls.
	changed ring.Ring[struct{}]
	behind  ring.Ring[string]

	mu         sync.Mutex
	membership host.Membership
	storeHeard time.Time
}

func newGossip(d *Daemon) *gossip {
	g := &gossip{daemon: d, storeHeard: time.Now()}
	g.membership.Reset(time.Now(), d.node.ID(), d.incarnation, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	g.changed.Reset(1)
	g.behind.Reset(8)
	return g
}

// join takes the hosts of a record of members.
func (g *gossip) join(r record) {
	incarnations := make(map[string]string, len(r.hosts))
	for _, h := range r.hosts {
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

// state returns what is thought of a host.
func (g *gossip) state(id string) host.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.State(id)
}

// isolated reports whether the host has heard neither the store nor another
// host for too long. A host without others is never isolated from them.
func (g *gossip) isolated(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.membership.Len() == 0 {
		return false
	}
	if !g.daemon.fleet.storeFailing() {
		g.storeHeard = now
	}
	last := g.storeHeard
	if g.membership.LastReceived().After(last) {
		last = g.membership.LastReceived()
	}
	return now.Sub(last) > isolation
}

// message returns what this host says of itself.
func (g *gossip) message() peer.Probe {
	d := g.daemon
	out := d.fleet.storeFailing()
	p := peer.Probe{
		From: d.node.ID(), Incarnation: d.incarnation, Revision: d.keeper.current(),
		Epoch: d.fleet.present().Epoch, StoreOut: &out,
	}
	g.mu.Lock()
	news := g.membership.UpdatesToSend(nil)
	g.mu.Unlock()
	for _, n := range news {
		p.News = append(p.News, peer.HostUpdate{ID: n.ID, Incarnation: n.Incarnation, Version: &n.Version, State: n.State.String()})
	}
	return p
}

// hear takes a message of another host.
func (g *gossip) hear(p peer.Probe) {
	news := make([]host.Update, len(p.News))
	for i, n := range p.News {
		news[i] = host.Update{ID: n.ID, Incarnation: n.Incarnation, State: host.ParseState(n.State)}
		if n.Version != nil {
			news[i].Version = *n.Version
		}
	}
	g.mu.Lock()
	g.membership.HandleMessage(time.Now(), p.From, news)
	g.mu.Unlock()
	if p.Revision > g.daemon.keeper.current() || p.Epoch > g.daemon.fleet.present().Epoch {
		g.behind.Push(p.From)
	}
}

// probe is the duty that probes one random host each period.
func (g *gossip) probe(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		wait := time.Until(g.membership.NextTick())
		g.mu.Unlock()
		pause(ctx, max(wait, time.Millisecond))
		g.mu.Lock()
		id := g.membership.Tick(time.Now())
		g.mu.Unlock()
		if id != "" && ctx.Err() == nil && !g.reach(ctx, id) && !g.reachThroughOthers(ctx, id) {
			g.daemon.tally.Add("hosts-suspected", 1)
			g.mu.Lock()
			g.membership.ProbeFailed(time.Now(), id)
			g.mu.Unlock()
		}
	}
}

// reach probes a host and reports whether it answered.
func (g *gossip) reach(ctx context.Context, id string) bool {
	l := g.daemon.linkTo(id)
	if l == nil {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, host.ProbeTimeout)
	defer cancel()
	var answer peer.Probe
	if l.Call(limited, link.MethodProbe, g.message(), &answer) != nil {
		return false
	}
	g.hear(answer)
	return true
}

func (g *gossip) reachThroughOthers(ctx context.Context, id string) bool {
	g.mu.Lock()
	helpers := g.membership.RandomAlive(nil, host.IndirectProbes, id)
	g.mu.Unlock()
	for _, helper := range helpers {
		l := g.daemon.linkTo(helper)
		if l == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, 3*host.ProbeTimeout)
		var answer peer.IndirectProbe
		err := l.Call(limited, link.MethodCheck, peer.IndirectProbe{ID: id}, &answer)
		cancel()
		if err == nil && answer.Alive != nil && *answer.Alive {
			return true
		}
	}
	return false
}

// spread is the duty that tells others of a change at once.
func (g *gossip) spread(ctx context.Context) {
	for {
		select {
		case <-g.changed.Ready():
		case <-ctx.Done():
			return
		}
		g.changed.Drain(nil)
		g.tell(ctx, firstSpread)
		pause(ctx, spreadPause)
		g.tell(ctx, secondSpread)
	}
}

func (g *gossip) tell(ctx context.Context, n int) {
	g.mu.Lock()
	to := g.membership.RandomAlive(nil, n, "")
	g.mu.Unlock()
	var calls sync.WaitGroup
	for _, id := range to {
		calls.Go(func() { g.reach(ctx, id) })
	}
	calls.Wait()
}

// catchUp is the duty that pulls from hosts that are ahead.
func (g *gossip) catchUp(ctx context.Context) {
	for {
		select {
		case <-g.behind.Ready():
		case <-ctx.Done():
			return
		}
		from := g.behind.Drain(nil)
		slices.Sort(from)
		for _, id := range slices.Compact(from) {
			if l := g.daemon.linkTo(id); l != nil && ctx.Err() == nil {
				g.daemon.pull(ctx, l)
			}
		}
	}
}

// watching reports whether this host watches the store: the first few of each
// data centre by a hash of their names do, and those that are in no record or
// hear no other host.
func (g *gossip) watching() bool {
	r := g.daemon.fleet.present()
	self, member := r.host(g.daemon.node.ID())
	if !member || g.deaf() {
		return true
	}
	before := 0
	for _, h := range r.hosts {
		if h.DataCentre == self.DataCentre && hash(h.ID) < hash(self.ID) && g.state(h.ID) == host.Alive {
			before++
		}
	}
	return before < watchersPerCentre
}

func (g *gossip) deaf() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.membership.LastReceived()) > isolation/2
}

package daemon

import (
	"context"
	"sync"
	"time"

	"fescuerill/internal/schema/caller"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/stats"
	"fescuerill/owner"
	"fescuerill/query"
	"fescuerill/settings"
	"fescuerill/target"
)

// Times of the owner role.
const (
	// shareEvery is how often the shares of targets are computed again.
	shareEvery = 50 * time.Millisecond
	// doubtEvery is how often the hosts are asked after that may still use a
	// target.
	doubtEvery = time.Second
	// drainEvery is how often a keeper that ends is looked at.
	drainEvery = 10 * time.Millisecond
)

// ownership is the owner role of a daemon: the targets it owns and their
// keepers.
type ownership struct {
	tally   *stats.Registry
	options Options
	proven  func(now time.Time) bool
	release func(to string, r peer.Release)
	self    string

	mu      sync.Mutex
	ledger  owner.Tracker
	keepers map[string]*keeper
	shares  map[string]target.Share
	// out marks the targets that are out of service.
	out     map[string]bool
	view    *settings.Resolved
	early   []peer.Release
	cleared int
	drains  sync.WaitGroup
}

func newOwnership(self string, lease time.Duration, t *stats.Registry, options Options) *ownership {
	o := &ownership{self: self, tally: t, options: options, keepers: map[string]*keeper{}, shares: map[string]target.Share{}, out: map[string]bool{}}
	o.ledger.Reset(self, lease)
	return o
}

// adopt puts a division in force. Targets that go to other hosts are drained
// and then released to them.
func (o *ownership) adopt(now time.Time, d *division) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := o.ledger.Apply(now, d.epoch, o.proven(now))
	var drained sync.WaitGroup
	for _, h := range lost {
		k := o.keepers[h.Target]
		delete(o.keepers, h.Target)
		delete(o.shares, h.Target)
		delete(o.out, h.Target)
		if k != nil {
			drained.Add(1)
			o.drains.Go(func() {
				defer drained.Done()
				o.drain(k, h, d.epoch.Epoch)
			})
		}
	}
	o.drains.Go(func() {
		drained.Wait()
		o.clear(d.epoch.Epoch)
	})
	o.start()
	early := o.early
	o.early = nil
	for _, r := range early {
		o.receive(r)
	}
	o.share(now)
}

// readopt puts a division in force whose targets were not known when its epoch
// was adopted.
func (o *ownership) readopt(now time.Time, d *division) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.AddTargets(now, d.epoch)
	o.start()
	o.share(now)
}

// start makes keepers for targets that are owned and known.
func (o *ownership) start() {
	for path, k := range o.keepers {
		b := o.view.Target(path)
		if !o.ledger.Owns(path) || b == nil || k.address != b.Address() {
			delete(o.keepers, path)
			delete(o.shares, path)
			delete(o.out, path)
			o.drains.Go(func() { o.drain(k, owner.Handover{}, 0) })
		}
	}
	if o.view == nil {
		return
	}
	for _, path := range o.ledger.Owned(nil) {
		if b := o.view.Target(path); b != nil && o.keepers[path] == nil {
			o.keepers[path] = newKeeper(b, o.tally, o.options, o.proven)
		}
	}
}

// apply puts settings in force.
func (o *ownership) apply(v *settings.Resolved) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
	o.start()
	for path, k := range o.keepers {
		k.inbox.Push(event{view: v.Target(path)})
	}
	o.share(time.Now())
}

// drain ends a keeper: it takes no new work, finishes what is under way and
// then hands the target over.
func (o *ownership) drain(k *keeper, h owner.Handover, epoch int) {
	none := target.ShareNone
	k.inbox.Push(event{share: &none})
	status := k.look()
	for !status.settled {
		time.Sleep(drainEvery)
		status = k.look()
	}
	k.close()
	if !h.SoleOwner || h.NewOwner == "" {
		return
	}
	o.tally.Add("targets-released", 1)
	o.release(h.NewOwner, peer.Release{From: o.self, Epoch: epoch, Targets: []peer.ReleasedTarget{{
		Target: h.Target, Incarnation: status.incarnation, State: status.State, Completed: status.Completed,
	}}})
}

// take handles a release from another host.
func (o *ownership) take(r peer.Release) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Epoch > o.ledger.Epoch() {
		o.early = append(o.early, r)
		return
	}
	o.receive(r)
	o.share(time.Now())
}

func (o *ownership) receive(r peer.Release) {
	for _, t := range r.Targets {
		if !o.ledger.HandleRelease(r.Epoch, t.Target) {
			continue
		}
		o.tally.Add("targets-taken-over", 1)
		if k := o.keepers[t.Target]; k != nil {
			k.inbox.Push(event{handover: &t})
		}
	}
}

// share tells the keepers how much of their targets they may use.
func (o *ownership) share(now time.Time) {
	proven := o.proven(now)
	for path, k := range o.keepers {
		s := o.ledger.Share(path, proven)
		b := o.view.Target(path)
		out := b == nil || !o.view.AcceptsWork(b)
		if out {
			s = target.ShareNone
		}
		if o.out[path] && !out {
			k.inbox.Push(event{back: true})
		}
		o.out[path] = out
		if old, ok := o.shares[path]; !ok || old != s {
			o.shares[path] = s
			k.inbox.Push(event{share: &s})
		}
	}
}

// run is the duty that follows the lease and the tenures.
func (o *ownership) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, shareEvery)
		o.mu.Lock()
		o.share(time.Now())
		o.mu.Unlock()
	}
}

// clear notes that the host uses nothing that the epoch gives to others.
func (o *ownership) clear(epoch int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cleared = max(o.cleared, epoch)
}

// lastCleared returns the last epoch of which the host uses nothing that it
// gives to others.
func (o *ownership) lastCleared() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cleared
}

// survey is the duty that looks at what others have said while the host waits
// for them.
func (o *ownership) survey(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, storeRetry)
		o.mu.Lock()
		unproven, waiting := o.ledger.Pending(time.Now())
		o.mu.Unlock()
		if !waiting {
			continue
		}
		if unproven {
			if s, err := f.surveyed(ctx); err == nil {
				o.surveyed(s)
			}
		} else {
			o.doubt(ctx, f)
			pause(ctx, doubtEvery)
		}
	}
}

func (o *ownership) surveyed(s owner.StoreView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.ApplyStoreView(s, o.proven(time.Now()))
}

// doubt asks after the hosts that may still use half of a target.
func (o *ownership) doubt(ctx context.Context, f *fleet) {
	o.mu.Lock()
	doubted := o.ledger.UnackedHosts(nil)
	o.mu.Unlock()
	o.surveyed(f.lookedUp(ctx, doubted))
	ended := f.ended(ctx, doubted)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, yes := range ended {
		if yes {
			o.ledger.HostTerminated(id)
		}
	}
}

// ask hands the parts of a query to the keepers of their targets.
func (o *ownership) ask(from responder, a *peer.QueryParts) {
	deadline := time.Now().Add(time.Duration(a.BudgetUs) * time.Microsecond)
	jobs := map[string][]*job{}
	for _, p := range a.Parts {
		jobs[p.Target] = append(jobs[p.Target], &job{from: from, ask: a, part: p, deadline: deadline})
	}
	for path, list := range jobs {
		o.mu.Lock()
		k := o.keepers[path]
		pushed := k != nil && k.inbox.Push(event{jobs: list})
		o.mu.Unlock()
		if pushed {
			continue
		}
		reason, untouched := query.ReasonUnowned, true
		o.tally.Add("part-refused-"+reason, len(list))
		for _, j := range list {
			from.Reply(peer.PartReply{
				Query: a.Query, ID: j.part.ID, Target: path, Snapshot: a.Snapshot,
				Outcome: "not-run", Reason: &reason, Untouched: &untouched,
			})
		}
	}
}

// cancel drops parts that are no longer wanted.
func (o *ownership) cancel(from responder, c peer.Cancel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.keepers {
		k.inbox.Push(event{cancel: &cancelled{from, c.Query, c.Ids}})
	}
}

// usable returns the number of targets of which the host may use something.
func (o *ownership) usable() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, s := range o.shares {
		if s != target.ShareNone {
			n++
		}
	}
	return n
}

// statuses returns what operators see of each target owned.
func (o *ownership) statuses() []caller.TargetStatus {
	o.mu.Lock()
	keepers := make([]*keeper, 0, len(o.keepers))
	for _, k := range o.keepers {
		keepers = append(keepers, k)
	}
	o.mu.Unlock()
	out := make([]caller.TargetStatus, len(keepers))
	for i, k := range keepers {
		out[i] = k.look().TargetStatus
	}
	return out
}

// states returns the states of the named targets that are owned here.
func (o *ownership) states(paths []string) []peer.TargetState {
	var out []peer.TargetState
	for _, path := range paths {
		o.mu.Lock()
		k := o.keepers[path]
		o.mu.Unlock()
		if k == nil {
			continue
		}
		if s := k.current(); s.Version != 0 {
			out = append(out, s)
		}
	}
	return out
}

// close ends all keepers at once.
func (o *ownership) close() {
	o.drains.Wait()
	o.mu.Lock()
	keepers := o.keepers
	o.keepers = map[string]*keeper{}
	o.mu.Unlock()
	for _, k := range keepers {
		k.close()
	}
}

// connections returns the connections opened to the targets that are owned.
func (o *ownership) connections() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sum int64
	for _, k := range o.keepers {
		sum += k.link.opened.Load()
	}
	return sum
}

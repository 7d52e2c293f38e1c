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

// Intervals of the owner role.
const (
	// shareInterval is how often the shares of the targets are recomputed.
	shareInterval = 50 * time.Millisecond
	// unackedCheckInterval is how often the hosts that may still use a target
	// of this host are checked.
	unackedCheckInterval = time.Second
	// drainPollInterval is how often the status of a draining worker is read.
	drainPollInterval = 10 * time.Millisecond
)

// ownership is the owner role of a daemon: the targets that the host owns and
// their workers.
type ownership struct {
	stats      *stats.Registry
	options    Options
	leaseValid func(now time.Time) bool
	release    func(to string, r peer.Release)
	self       string

	mu      sync.Mutex
	tracker owner.Tracker
	workers map[string]*targetWorker
	shares  map[string]target.Share
	// outOfService marks the targets that are out of service.
	outOfService  map[string]bool
	view          *settings.View
	earlyReleases []peer.Release
	clearedEpoch  int
	drains        sync.WaitGroup
}

func newOwnership(self string, lease time.Duration, t *stats.Registry, options Options) *ownership {
	o := &ownership{self: self, stats: t, options: options, workers: map[string]*targetWorker{}, shares: map[string]target.Share{}, outOfService: map[string]bool{}}
	o.tracker.Reset(self, lease)
	return o
}

// applyAssignment installs an assignment. Targets that are now assigned to
// other hosts are drained and then released to them.
func (o *ownership) applyAssignment(now time.Time, d *assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := o.tracker.Apply(now, d.forTracker, o.leaseValid(now))
	var drained sync.WaitGroup
	for _, h := range lost {
		k := o.workers[h.Target]
		delete(o.workers, h.Target)
		delete(o.shares, h.Target)
		delete(o.outOfService, h.Target)
		if k != nil {
			drained.Add(1)
			o.drains.Go(func() {
				defer drained.Done()
				o.drain(k, h, d.forTracker.Epoch)
			})
		}
	}
	o.drains.Go(func() {
		drained.Wait()
		o.markCleared(d.forTracker.Epoch)
	})
	o.syncWorkers()
	early := o.earlyReleases
	o.earlyReleases = nil
	for _, r := range early {
		o.applyRelease(r)
	}
	o.updateShares(now)
}

// addTargets applies an assignment whose targets were not known when its epoch
// was installed.
func (o *ownership) addTargets(now time.Time, d *assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.AddTargets(now, d.forTracker)
	o.syncWorkers()
	o.updateShares(now)
}

// syncWorkers starts workers for targets that are owned and in the settings,
// and drains the others.
func (o *ownership) syncWorkers() {
	for path, k := range o.workers {
		b := o.view.Target(path)
		if !o.tracker.Owns(path) || b == nil || k.address != b.Address() {
			delete(o.workers, path)
			delete(o.shares, path)
			delete(o.outOfService, path)
			o.drains.Go(func() { o.drain(k, owner.Handover{}, 0) })
		}
	}
	if o.view == nil {
		return
	}
	for _, path := range o.tracker.Owned(nil) {
		if b := o.view.Target(path); b != nil && o.workers[path] == nil {
			o.workers[path] = newTargetWorker(b, o.stats, o.options, o.leaseValid)
		}
	}
}

// applySettings installs settings.
func (o *ownership) applySettings(v *settings.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = v
	o.syncWorkers()
	for path, k := range o.workers {
		k.inbox.Push(event{target: v.Target(path)})
	}
	o.updateShares(time.Now())
}

// drain stops a worker: the worker accepts no new parts, finishes the exchanges
// in flight, and then the target is released to its new owner.
func (o *ownership) drain(k *targetWorker, h owner.Handover, epoch int) {
	none := target.ShareNone
	k.inbox.Push(event{share: &none})
	status := k.requestStatus()
	for !status.idle {
		time.Sleep(drainPollInterval)
		status = k.requestStatus()
	}
	k.close()
	if !h.SoleOwner || h.NewOwner == "" {
		return
	}
	o.stats.Add("targets-released", 1)
	o.release(h.NewOwner, peer.Release{From: o.self, Epoch: epoch, Targets: []peer.Released{{
		Target: h.Target, Incarnation: status.incarnation, State: status.State, Completed: status.Completed,
	}}})
}

// handleRelease handles a release from another host. One of a later epoch is
// kept until that epoch is installed.
func (o *ownership) handleRelease(r peer.Release) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Epoch > o.tracker.Epoch() {
		o.earlyReleases = append(o.earlyReleases, r)
		return
	}
	o.applyRelease(r)
	o.updateShares(time.Now())
}

func (o *ownership) applyRelease(r peer.Release) {
	for _, t := range r.Targets {
		if !o.tracker.HandleRelease(r.Epoch, t.Target) {
			continue
		}
		o.stats.Add("targets-taken-over", 1)
		if k := o.workers[t.Target]; k != nil {
			k.inbox.Push(event{handover: &t})
		}
	}
}

// updateShares sends the workers the share of their targets that they may use.
func (o *ownership) updateShares(now time.Time) {
	proven := o.leaseValid(now)
	for path, k := range o.workers {
		s := o.tracker.Share(path, proven)
		b := o.view.Target(path)
		out := b == nil || !o.view.Takes(b)
		if out {
			s = target.ShareNone
		}
		if o.outOfService[path] && !out {
			k.inbox.Push(event{backInService: true})
		}
		o.outOfService[path] = out
		if old, ok := o.shares[path]; !ok || old != s {
			o.shares[path] = s
			k.inbox.Push(event{share: &s})
		}
	}
}

// shareLoop updates the shares as the lease and the ownership of targets
// change.
func (o *ownership) shareLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, shareInterval)
		o.mu.Lock()
		o.updateShares(time.Now())
		o.mu.Unlock()
	}
}

// markCleared records that the host no longer uses any target that the epoch
// assigns to another host.
func (o *ownership) markCleared(epoch int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.clearedEpoch = max(o.clearedEpoch, epoch)
}

// lastClearedEpoch returns the last epoch for which the host no longer uses any
// target that the epoch assigns to another host.
func (o *ownership) lastClearedEpoch() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.clearedEpoch
}

// priorOwnersLoop reads what other hosts have acknowledged while this host
// waits for the previous owners of its targets.
func (o *ownership) priorOwnersLoop(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, storeRetryDelay)
		o.mu.Lock()
		unproven, waiting := o.tracker.Pending(time.Now())
		o.mu.Unlock()
		if !waiting {
			continue
		}
		if unproven {
			if s, err := f.readStoreView(ctx); err == nil {
				o.applyStoreView(s)
			}
		} else {
			o.checkUnackedHosts(ctx, f)
			pause(ctx, unackedCheckInterval)
		}
	}
}

func (o *ownership) applyStoreView(s owner.StoreView) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.ApplyStoreView(s, o.leaseValid(time.Now()))
}

// checkUnackedHosts checks the hosts that may still use half of a target:
// whether they have acknowledged the epoch or have terminated.
func (o *ownership) checkUnackedHosts(ctx context.Context, f *fleet) {
	o.mu.Lock()
	doubted := o.tracker.UnackedHosts(nil)
	o.mu.Unlock()
	o.applyStoreView(f.readAckedEpochs(ctx, doubted))
	ended := f.terminated(ctx, doubted)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, yes := range ended {
		if yes {
			o.tracker.HostTerminated(id)
		}
	}
}

// handleParts passes the parts of a query to the workers of their targets.
func (o *ownership) handleParts(from teller, a *peer.Ask) {
	deadline := time.Now().Add(time.Duration(a.BudgetUs) * time.Microsecond)
	jobs := map[string][]*job{}
	for _, p := range a.Parts {
		jobs[p.Target] = append(jobs[p.Target], &job{responder: from, query: a, part: p, deadline: deadline})
	}
	for path, list := range jobs {
		o.mu.Lock()
		k := o.workers[path]
		pushed := k != nil && k.inbox.Push(event{jobs: list})
		o.mu.Unlock()
		if pushed {
			continue
		}
		reason, untouched := query.ReasonUnowned, true
		o.stats.Add("part-refused-"+reason, len(list))
		for _, j := range list {
			from.Tell(peer.Told{
				Query: a.Query, ID: j.part.ID, Target: path, Snapshot: a.Snapshot,
				Outcome: "not-run", Reason: &reason, Untouched: &untouched,
			})
		}
	}
}

// cancel cancels parts that are no longer needed.
func (o *ownership) cancel(from teller, c peer.Cancel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range o.workers {
		k.inbox.Push(event{cancel: &cancellation{from, c.Query, c.Ids}})
	}
}

// usableTargets returns the number of targets of which the host may use a
// share.
func (o *ownership) usableTargets() int {
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

// statuses returns the status of each target owned, for operators.
func (o *ownership) statuses() []caller.TargetStatus {
	o.mu.Lock()
	keepers := make([]*targetWorker, 0, len(o.workers))
	for _, k := range o.workers {
		keepers = append(keepers, k)
	}
	o.mu.Unlock()
	out := make([]caller.TargetStatus, len(keepers))
	for i, k := range keepers {
		out[i] = k.requestStatus().TargetStatus
	}
	return out
}

// states returns the states of those named targets that the host owns.
func (o *ownership) states(paths []string) []peer.TargetState {
	var out []peer.TargetState
	for _, path := range paths {
		o.mu.Lock()
		k := o.workers[path]
		o.mu.Unlock()
		if k == nil {
			continue
		}
		if s := k.requestState(); s.Version != 0 {
			out = append(out, s)
		}
	}
	return out
}

// close stops all workers without draining them.
func (o *ownership) close() {
	o.drains.Wait()
	o.mu.Lock()
	keepers := o.workers
	o.workers = map[string]*targetWorker{}
	o.mu.Unlock()
	for _, k := range keepers {
		k.close()
	}
}

// connections returns the number of connections opened to the targets that the
// host owns.
func (o *ownership) connections() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sum int64
	for _, k := range o.workers {
		sum += k.client.opened.Load()
	}
	return sum
}

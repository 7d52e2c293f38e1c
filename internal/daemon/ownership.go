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
	settings      *settings.Resolved
	earlyReleases []peer.Release
	clearedEpoch  int
	drains        sync.WaitGroup
}

func newOwnership(self string, lease time.Duration, registry *stats.Registry, options Options) *ownership {
	o := &ownership{self: self, stats: registry, options: options, workers: map[string]*targetWorker{}, shares: map[string]target.Share{}, outOfService: map[string]bool{}}
	o.tracker.Reset(self, lease)
	return o
}

// applyAssignment installs an assignment. Targets that are now assigned to
// other hosts are drained and then released to them. requestedAt is the time at
// which the member list was requested from the store, written or pulled.
func (o *ownership) applyAssignment(requestedAt time.Time, a *assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	handovers := o.tracker.Apply(requestedAt, a.forTracker, o.leaseValid(requestedAt))
	var drained sync.WaitGroup
	for _, h := range handovers {
		w := o.workers[h.Target]
		delete(o.workers, h.Target)
		delete(o.shares, h.Target)
		delete(o.outOfService, h.Target)
		if w != nil {
			drained.Add(1)
			o.drains.Go(func() {
				defer drained.Done()
				o.drain(w, h, a.forTracker.Epoch)
			})
		}
	}
	o.drains.Go(func() {
		drained.Wait()
		o.markCleared(a.forTracker.Epoch)
	})
	o.syncWorkers()
	early := o.earlyReleases
	o.earlyReleases = nil
	for _, r := range early {
		o.applyRelease(r)
	}
	o.updateShares(requestedAt)
}

// addTargets applies an assignment whose targets were not known when its epoch
// was installed.
func (o *ownership) addTargets(now time.Time, a *assignment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.AddTargets(now, a.forTracker)
	o.syncWorkers()
	o.updateShares(now)
}

// syncWorkers starts workers for targets that are owned and in the settings,
// and drains the others.
func (o *ownership) syncWorkers() {
	for path, w := range o.workers {
		t := o.settings.Target(path)
		if !o.tracker.Owns(path) || t == nil || w.address != t.Address() {
			delete(o.workers, path)
			delete(o.shares, path)
			delete(o.outOfService, path)
			o.drains.Go(func() { o.drain(w, owner.Handover{}, 0) })
		}
	}
	if o.settings == nil {
		return
	}
	for _, path := range o.tracker.Owned(nil) {
		if t := o.settings.Target(path); t != nil && o.workers[path] == nil {
			o.workers[path] = newTargetWorker(t, o.stats, o.options, o.leaseValid)
		}
	}
}

// applySettings installs settings.
func (o *ownership) applySettings(resolved *settings.Resolved) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settings = resolved
	o.syncWorkers()
	for path, w := range o.workers {
		w.inbox.Push(event{target: resolved.Target(path)})
	}
	o.updateShares(time.Now())
}

// drain stops a worker: the worker accepts no new parts and finishes the
// exchanges in flight. The target is then released to its new owner, provided
// that this host was its sole owner.
func (o *ownership) drain(w *targetWorker, h owner.Handover, epoch int) {
	none := target.ShareNone
	w.inbox.Push(event{share: &none})
	status := w.requestStatus()
	for !status.idle {
		time.Sleep(drainPollInterval)
		status = w.requestStatus()
	}
	w.close()
	if !h.SoleOwner || h.NewOwner == "" {
		return
	}
	o.stats.Add("targets-released", 1)
	o.release(h.NewOwner, peer.Release{From: o.self, Epoch: epoch, Targets: []peer.ReleasedTarget{{
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
		if w := o.workers[t.Target]; w != nil {
			w.inbox.Push(event{handover: &t})
		}
	}
}

// updateShares sends the workers the changed shares of their targets.
func (o *ownership) updateShares(now time.Time) {
	leaseValid := o.leaseValid(now)
	for path, w := range o.workers {
		s := o.tracker.Share(path, leaseValid)
		t := o.settings.Target(path)
		outOfService := t == nil || !o.settings.AcceptsWork(t)
		if outOfService {
			s = target.ShareNone
		}
		if o.outOfService[path] && !outOfService {
			w.inbox.Push(event{backInService: true})
		}
		o.outOfService[path] = outOfService
		if old, ok := o.shares[path]; !ok || old != s {
			o.shares[path] = s
			w.inbox.Push(event{share: &s})
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

// priorOwnersLoop reads the epochs that other hosts have acknowledged while
// this host waits for the previous owners of its targets.
func (o *ownership) priorOwnersLoop(ctx context.Context, f *fleet) {
	for ctx.Err() == nil {
		pause(ctx, storeRetryDelay)
		o.mu.Lock()
		unconfirmed, waiting := o.tracker.Pending(time.Now())
		o.mu.Unlock()
		if !waiting {
			continue
		}
		if unconfirmed {
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
	unacked := o.tracker.UnackedHosts(nil)
	o.mu.Unlock()
	o.applyStoreView(f.readAckedEpochs(ctx, unacked))
	terminated := f.terminated(ctx, unacked)
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, ok := range terminated {
		if ok {
			o.tracker.HostTerminated(id)
		}
	}
}

// handleParts passes the parts of a query to the workers of their targets.
func (o *ownership) handleParts(r responder, q *peer.QueryParts) {
	deadline := time.Now().Add(time.Duration(q.BudgetUs) * time.Microsecond)
	jobs := map[string][]*job{}
	for _, p := range q.Parts {
		jobs[p.Target] = append(jobs[p.Target], &job{responder: r, query: q, part: p, deadline: deadline})
	}
	for path, list := range jobs {
		o.mu.Lock()
		w := o.workers[path]
		pushed := w != nil && w.inbox.Push(event{jobs: list})
		o.mu.Unlock()
		if pushed {
			continue
		}
		reason, notDelivered := query.ReasonUnowned, true
		o.stats.Add("part-refused-"+reason, len(list))
		for _, j := range list {
			r.Reply(peer.PartReply{
				Query: q.Query, ID: j.part.ID, Target: path, Snapshot: q.Snapshot,
				Outcome: "not-run", Reason: &reason, Untouched: &notDelivered,
			})
		}
	}
}

// cancel cancels parts that are no longer needed.
func (o *ownership) cancel(r responder, c peer.Cancel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		w.inbox.Push(event{cancel: &cancellation{r, c.Query, c.Ids}})
	}
}

// usableTargets returns the number of targets that the host is allowed to use
// fully or in part.
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
	workers := make([]*targetWorker, 0, len(o.workers))
	for _, w := range o.workers {
		workers = append(workers, w)
	}
	o.mu.Unlock()
	out := make([]caller.TargetStatus, len(workers))
	for i, w := range workers {
		out[i] = w.requestStatus().TargetStatus
	}
	return out
}

// states returns the states of those named targets that the host owns.
func (o *ownership) states(paths []string) []peer.TargetState {
	var out []peer.TargetState
	for _, path := range paths {
		o.mu.Lock()
		w := o.workers[path]
		o.mu.Unlock()
		if w == nil {
			continue
		}
		if s := w.requestState(); s.Version != 0 {
			out = append(out, s)
		}
	}
	return out
}

// close waits for workers that are draining and stops the others without
// draining them.
func (o *ownership) close() {
	o.drains.Wait()
	o.mu.Lock()
	workers := o.workers
	o.workers = map[string]*targetWorker{}
	o.mu.Unlock()
	for _, w := range workers {
		w.close()
	}
}

// connections returns the number of connections opened to the targets that the
// host owns.
func (o *ownership) connections() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sum int64
	for _, w := range o.workers {
		sum += w.client.opened.Load()
	}
	return sum
}

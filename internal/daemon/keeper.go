package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fescuerill/internal/schema/caller"
	"fescuerill/internal/schema/exchange"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/stats"
	"fescuerill/query"
	"fescuerill/ring"
	"fescuerill/settings"
	"fescuerill/target"
)

// Intervals and time-outs of a target worker.
const (
	// reportInterval is how often the report of a target is fetched.
	reportInterval = 500 * time.Millisecond
	// unreachableReportInterval is the same for a target that is unreachable.
	unreachableReportInterval = 200 * time.Millisecond
	// stallFactor is the multiple of the typical latency, and minStallTime the
	// minimum time, after which a target without a reply to an exchange is
	// suspected to have stalled.
	stallFactor  = 8
	minStallTime = 40 * time.Millisecond
)

// responder receives the replies to parts and the states of targets.
type teller interface {
	Tell(t peer.Told) bool
	State(s peer.TargetState)
	Refresh(s peer.TargetState)
}

// job is a part that is queued or in an exchange.
type job struct {
	responder teller
	query     *peer.Ask
	part      peer.Part
	deadline  time.Time
	cancelled bool
	replied   bool
}

// event is an input of a worker's goroutine. Exactly one field is set.
type event struct {
	jobs     []*job
	cancel   *cancellation
	ended    *exchangeEnd
	report   *reportResult
	share    *target.Share
	target   *settings.Target
	statusTo chan<- targetStatus
	stateTo  chan<- peer.TargetState
	handover *peer.Released
	// backInService is set when the target returns to service.
	backInService bool
}

type cancellation struct {
	responder teller
	query     int
	ids       []int
}

// exchangeEnd is the result of an exchange.
type exchangeEnd struct {
	exchange *runningExchange
	reply    exchange.Reply
	err      error
}

// reportResult is the result of fetching a report.
type reportResult struct {
	report exchange.Report
	err    error
}

// runningExchange is an exchange in flight.
type runningExchange struct {
	slot       uint64
	id         string
	jobs       []*job
	began      time.Time
	cancel     context.CancelFunc
	cancelSent bool
}

// targetStatus is the status of a target, with the state that is handed over to
// its next owner.
type targetStatus struct {
	caller.TargetStatus
	incarnation string
	// idle is set when no exchange is in flight and no slot is in use.
	idle bool
}

// targetWorker manages one target on behalf of its owner. Only its goroutine
// accesses the limiter and the queue.
type targetWorker struct {
	address string
	path    string
	// responseTimeout is the time-out of fetching a report and of a
	// cancellation. It is atomic because several goroutines of the worker read
	// it.
	responseTimeout atomic.Int64
	stats           *stats.Registry
	inbox           ring.Ring[event]
	cancel          context.CancelFunc
	done            sync.WaitGroup
	stopped         chan struct{}

	// granted is the share that the tracker grants, and leaseValid reports
	// whether the host certainly holds its lease.
	granted          target.Share
	leaseValid       func(now time.Time) bool
	limiter          target.Limiter
	queue            target.Queue[*job]
	client           *targetClient
	running          map[uint64]*runningExchange
	report           exchange.Report
	version          int
	sequence         int
	policiesDisabled bool
	lastSuspected    time.Time
	lastEnd          time.Time
}

func newTargetWorker(b *settings.Target, t *stats.Registry, o Options, proven func(time.Time) bool) *targetWorker {
	ctx, cancel := context.WithCancel(context.Background())
	k := &targetWorker{
		address: b.Address(), path: b.Path(), stats: t, cancel: cancel, client: newTargetClient(b, o.Network),
		running: map[uint64]*runningExchange{}, policiesDisabled: o.Plain, leaseValid: proven, stopped: make(chan struct{}),
	}
	k.responseTimeout.Store(int64(b.Policy().SilentAfter()))
	k.limiter.Reset(limits(b.Policy(), o.Plain))
	k.queue.Reset(b.Policy().Queue())
	k.done.Go(func() { k.run(ctx) })
	k.done.Go(func() { k.reportLoop(ctx) })
	return k
}

// limits returns the limits of a policy. With policies disabled, as in the
// baseline of the benchmarks, every target counts as warm from the start.
func limits(p settings.Policy, plain bool) target.Limits {
	l := target.Limits{Slots: p.Slots(), Batch: p.Batch(), ColdSlots: p.ColdSlots(), ColdBatch: p.ColdBatch(), ExchangesPerSlot: p.WarmStep()}
	if plain {
		l.ColdSlots, l.ColdBatch, l.ExchangesPerSlot = l.Slots, l.Batch, 1
	}
	return l
}

// requestStatus returns the status of the target. A worker that has stopped is
// idle.
func (k *targetWorker) requestStatus() targetStatus {
	c := make(chan targetStatus, 1)
	if !k.inbox.Push(event{statusTo: c}) {
		return targetStatus{}
	}
	select {
	case s := <-c:
		return s
	case <-k.stopped:
		return targetStatus{idle: true}
	}
}

// requestState returns the state of the target that is sent to coordinators.
func (k *targetWorker) requestState() peer.TargetState {
	c := make(chan peer.TargetState, 1)
	if !k.inbox.Push(event{stateTo: c}) {
		return peer.TargetState{}
	}
	select {
	case s := <-c:
		return s
	case <-k.stopped:
		return peer.TargetState{}
	}
}

func (k *targetWorker) close() {
	k.cancel()
	k.done.Wait()
	k.client.close()
}

// reportLoop fetches the report of the target periodically.
func (k *targetWorker) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := reportInterval
		if k.fetchReport(ctx) != nil {
			wait = unreachableReportInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// fetchReport fetches the report of the target and passes it to the worker.
func (k *targetWorker) fetchReport(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, time.Duration(k.responseTimeout.Load()))
	defer cancel()
	r, err := k.client.report(limited)
	if ctx.Err() == nil {
		k.inbox.Push(event{report: &reportResult{r, err}})
	}
	return err
}

// run handles events and dispatches exchanges.
func (k *targetWorker) run(ctx context.Context) {
	defer close(k.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	for {
		timer.Reset(k.nextWake(time.Now()))
		select {
		case <-k.inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
			k.failAll()
			return
		}
		events = k.inbox.Drain(events[:0])
		now := time.Now()
		for _, e := range events {
			k.handle(ctx, now, e)
		}
		k.limiter.ExpireSlots(now)
		k.checkStalled(now)
		k.dispatch(ctx, now)
		if t := k.limiter.TakeColdCause(); t != target.ColdCauseNone {
			k.stats.Add("target-cold-"+string(t), 1)
		}
	}
}

// nextWake returns the time until the worker has to act if no event arrives.
func (k *targetWorker) nextWake(now time.Time) time.Duration {
	next := now.Add(time.Second)
	for _, at := range []time.Time{k.limiter.NextExpiry(), k.queue.EarliestDeadline(), k.stallAt()} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return max(time.Millisecond, next.Sub(now))
}

func (k *targetWorker) handle(ctx context.Context, now time.Time, e event) {
	switch {
	case e.jobs != nil:
		for _, j := range e.jobs {
			k.enqueue(now, j)
		}
	case e.cancel != nil:
		k.cancelJobs(ctx, *e.cancel)
	case e.ended != nil:
		k.handleEnd(now, *e.ended)
	case e.report != nil:
		k.handleReport(now, *e.report)
	case e.share != nil:
		k.granted = *e.share
		k.limiter.SetShare(k.usableShare(now))
	case e.target != nil:
		k.responseTimeout.Store(int64(e.target.Policy().SilentAfter()))
		k.limiter.SetLimits(limits(e.target.Policy(), k.policiesDisabled))
	case e.statusTo != nil:
		e.statusTo <- k.status()
	case e.stateTo != nil:
		e.stateTo <- k.state()
	case e.backInService:
		k.limiter.ReturnToService()
	case e.handover != nil:
		k.limiter.RestoreState(e.handover.Incarnation, target.ParseState(e.handover.State), e.handover.Completed)
	}
}

func (k *targetWorker) status() targetStatus {
	return targetStatus{
		TargetStatus: caller.TargetStatus{
			Target: k.path, State: k.limiter.State().String(), Taken: k.limiter.SlotsInUse(),
			Queued: k.queue.Len(), Completed: k.limiter.Completed(), Share: int(k.limiter.Share()),
		},
		incarnation: k.limiter.Incarnation(),
		idle:        len(k.running) == 0 && k.limiter.SlotsInUse() == 0,
	}
}

// enqueue queues a part or refuses it.
func (k *targetWorker) enqueue(now time.Time, j *job) {
	if j.part.Seen != k.version && k.version != 0 {
		j.responder.Refresh(k.state())
	} else {
		j.responder.State(k.state())
	}
	if reason := k.refusalReason(); reason != "" {
		k.refuse(j, reason)
		return
	}
	err := k.queue.Offer(now, j.deadline, k.estimatedWait(), j)
	switch {
	case errors.Is(err, target.ErrQueueFull):
		k.refuse(j, query.ReasonQueueFull)
	case err != nil:
		k.refuse(j, query.ReasonTooLate)
	}
}

// refusalReason returns why the target accepts no parts at all, or "" if it
// does.
func (k *targetWorker) refusalReason() string {
	switch {
	case k.limiter.State() == target.Leaving:
		return query.ReasonLeaving
	case k.limiter.State() == target.Unreachable:
		return query.ReasonTargetLost
	case k.limiter.AllowedSlots() == 0:
		return query.ReasonUnowned
	default:
		return ""
	}
}

// estimatedWait estimates the time until a part that is queued now has its
// result.
func (k *targetWorker) estimatedWait() time.Duration {
	usual := k.limiter.TypicalLatency()
	if k.policiesDisabled || usual == 0 {
		return 0
	}
	each := max(1, k.limiter.BatchSize(time.Time{}))
	rounds := float64(k.queue.Len()+1) / float64(each*max(1, k.limiter.AllowedSlots()))
	return time.Duration(float64(usual) * (0.5 + rounds))
}

// handleReport handles a report, or the failure to fetch one.
func (k *targetWorker) handleReport(now time.Time, h reportResult) {
	if h.err == nil {
		k.saveReport(h.report)
		k.limiter.HandleReport(now, targetReport(h.report))
		return
	}
	if errors.Is(h.err, errConnect) {
		k.limiter.MarkUnreachable()
		return
	}
	k.client.close()
}

// saveReport saves a report and derives the version of its holdings from their
// content.
func (k *targetWorker) saveReport(r exchange.Report) {
	k.report = r
	text, err := json.Marshal(r.Holdings)
	if err == nil {
		k.version = int(xxhash.Sum64(text)>>12) | 1
	}
}

func targetReport(r exchange.Report) target.Report {
	return target.Report{Incarnation: r.Incarnation, State: target.ParseState(string(r.State)), Load: r.Load}
}

func (k *targetWorker) state() peer.TargetState {
	s := peer.TargetState{Target: k.path, Version: k.version, State: k.limiter.State().String()}
	s.Holdings = make([]peer.Holding, len(k.report.Holdings))
	for i, h := range k.report.Holdings {
		s.Holdings[i] = peer.Holding(h)
	}
	return s
}

// failAll replies to all queued and running parts when the worker stops.
func (k *targetWorker) failAll() {
	jobs, late := k.queue.Take(nil, nil, time.Time{}, k.queue.Len())
	k.refuseAll(append(jobs, late...), query.ReasonUnowned)
	for _, e := range k.inbox.Drain(nil) {
		k.refuseAll(e.jobs, query.ReasonUnowned)
		if e.statusTo != nil {
			e.statusTo <- k.status()
		}
		if e.stateTo != nil {
			e.stateTo <- k.state()
		}
	}
	for _, r := range k.running {
		r.cancel()
		reason := query.ReasonOwnerLost
		for _, j := range r.jobs {
			k.reply(j, peer.Told{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		}
	}
}

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

// Intervals and timeouts of a target worker.
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
type responder interface {
	Reply(r peer.PartReply) bool
	SendStateIfChanged(s peer.TargetState)
	SendState(s peer.TargetState)
}

// job is a part that is queued or in an exchange.
type job struct {
	responder responder
	query     *peer.QueryParts
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
	handover *peer.ReleasedTarget
	// backInService is set when the target returns to service.
	backInService bool
}

type cancellation struct {
	responder responder
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
	startedAt  time.Time
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
	// responseTimeout is the timeout of fetching a report and of a
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

func newTargetWorker(t *settings.Target, registry *stats.Registry, o Options, leaseValid func(time.Time) bool) *targetWorker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &targetWorker{
		address: t.Address(), path: t.Path(), stats: registry, cancel: cancel, client: newTargetClient(t, o.Network),
		running: map[uint64]*runningExchange{}, policiesDisabled: o.DisablePolicies, leaseValid: leaseValid, stopped: make(chan struct{}),
	}
	w.responseTimeout.Store(int64(t.Policy().ResponseTimeout()))
	w.limiter.Reset(limits(t.Policy(), o.DisablePolicies))
	w.queue.Reset(t.Policy().MaxQueue())
	w.done.Go(func() { w.run(ctx) })
	w.done.Go(func() { w.reportLoop(ctx) })
	return w
}

// limits returns the limits of a policy. With policies disabled, as in the
// baseline of the benchmarks, every target counts as warm from the start.
func limits(p settings.Policy, policiesDisabled bool) target.Limits {
	l := target.Limits{Slots: p.Slots(), Batch: p.MaxBatch(), ColdSlots: p.ColdSlots(), ColdBatch: p.MaxColdBatch(), ExchangesPerSlot: p.ExchangesPerSlot()}
	if policiesDisabled {
		l.ColdSlots, l.ColdBatch, l.ExchangesPerSlot = l.Slots, l.Batch, 1
	}
	return l
}

// requestStatus returns the status of the target. A worker that has stopped is
// idle.
func (w *targetWorker) requestStatus() targetStatus {
	c := make(chan targetStatus, 1)
	if !w.inbox.Push(event{statusTo: c}) {
		return targetStatus{}
	}
	select {
	case s := <-c:
		return s
	case <-w.stopped:
		return targetStatus{idle: true}
	}
}

// requestState returns the state of the target that is sent to coordinators.
func (w *targetWorker) requestState() peer.TargetState {
	c := make(chan peer.TargetState, 1)
	if !w.inbox.Push(event{stateTo: c}) {
		return peer.TargetState{}
	}
	select {
	case s := <-c:
		return s
	case <-w.stopped:
		return peer.TargetState{}
	}
}

func (w *targetWorker) close() {
	w.cancel()
	w.done.Wait()
	w.client.close()
}

// reportLoop fetches the report of the target periodically.
func (w *targetWorker) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := reportInterval
		if w.fetchReport(ctx) != nil {
			wait = unreachableReportInterval
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// fetchReport fetches the report of the target and passes it to the worker.
func (w *targetWorker) fetchReport(ctx context.Context) error {
	reportCtx, cancel := context.WithTimeout(ctx, time.Duration(w.responseTimeout.Load()))
	defer cancel()
	r, err := w.client.report(reportCtx)
	if ctx.Err() == nil {
		w.inbox.Push(event{report: &reportResult{r, err}})
	}
	return err
}

// run handles events and dispatches exchanges.
func (w *targetWorker) run(ctx context.Context) {
	defer close(w.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	for {
		timer.Reset(w.nextWake(time.Now()))
		select {
		case <-w.inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
			w.failAll()
			return
		}
		events = w.inbox.Drain(events[:0])
		now := time.Now()
		for _, e := range events {
			w.handle(ctx, now, e)
		}
		w.limiter.ExpireSlots(now)
		w.checkStalled(now)
		w.dispatch(ctx, now)
		if cause := w.limiter.TakeColdCause(); cause != target.ColdCauseNone {
			w.stats.Add("target-cold-"+string(cause), 1)
		}
	}
}

// nextWake returns the time until the worker has to act if no event arrives.
func (w *targetWorker) nextWake(now time.Time) time.Duration {
	next := now.Add(time.Second)
	for _, at := range []time.Time{w.limiter.NextExpiry(), w.queue.EarliestDeadline(), w.stallAt()} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return max(time.Millisecond, next.Sub(now))
}

func (w *targetWorker) handle(ctx context.Context, now time.Time, e event) {
	switch {
	case e.jobs != nil:
		for _, j := range e.jobs {
			w.enqueue(now, j)
		}
	case e.cancel != nil:
		w.cancelJobs(ctx, *e.cancel)
	case e.ended != nil:
		w.handleEnd(now, *e.ended)
	case e.report != nil:
		w.handleReport(now, *e.report)
	case e.share != nil:
		w.granted = *e.share
		w.limiter.SetShare(w.usableShare(now))
	case e.target != nil:
		w.responseTimeout.Store(int64(e.target.Policy().ResponseTimeout()))
		w.limiter.SetLimits(limits(e.target.Policy(), w.policiesDisabled))
	case e.statusTo != nil:
		e.statusTo <- w.status()
	case e.stateTo != nil:
		e.stateTo <- w.state()
	case e.backInService:
		w.limiter.ReturnToService()
	case e.handover != nil:
		w.limiter.RestoreState(e.handover.Incarnation, target.ParseState(e.handover.State), e.handover.Completed)
	}
}

func (w *targetWorker) status() targetStatus {
	return targetStatus{
		TargetStatus: caller.TargetStatus{
			Target: w.path, State: w.limiter.State().String(), Taken: w.limiter.SlotsInUse(),
			Queued: w.queue.Len(), Completed: w.limiter.Completed(), Share: int(w.limiter.Share()),
		},
		incarnation: w.limiter.Incarnation(),
		idle:        len(w.running) == 0 && w.limiter.SlotsInUse() == 0,
	}
}

// enqueue queues a part or refuses it.
func (w *targetWorker) enqueue(now time.Time, j *job) {
	if j.part.Seen != w.version && w.version != 0 {
		j.responder.SendState(w.state())
	} else {
		j.responder.SendStateIfChanged(w.state())
	}
	if reason := w.refusalReason(); reason != "" {
		w.refuse(j, reason)
		return
	}
	err := w.queue.Offer(now, j.deadline, w.estimatedWait(), j)
	switch {
	case errors.Is(err, target.ErrQueueFull):
		w.refuse(j, query.ReasonQueueFull)
	case err != nil:
		w.refuse(j, query.ReasonTooLate)
	}
}

// refusalReason returns why the target accepts no parts at all, or "" if it
// does.
func (w *targetWorker) refusalReason() string {
	switch {
	case w.limiter.State() == target.Leaving:
		return query.ReasonLeaving
	case w.limiter.State() == target.Unreachable:
		return query.ReasonTargetLost
	case w.limiter.AllowedSlots() == 0:
		return query.ReasonUnowned
	default:
		return ""
	}
}

// estimatedWait estimates the time until a part that is queued now has its
// result.
func (w *targetWorker) estimatedWait() time.Duration {
	typical := w.limiter.TypicalLatency()
	if w.policiesDisabled || typical == 0 {
		return 0
	}
	batch := max(1, w.limiter.BatchSize(time.Time{}))
	rounds := float64(w.queue.Len()+1) / float64(batch*max(1, w.limiter.AllowedSlots()))
	return time.Duration(float64(typical) * (0.5 + rounds))
}

// handleReport handles a report, or the failure to fetch one.
func (w *targetWorker) handleReport(now time.Time, r reportResult) {
	if r.err == nil {
		w.saveReport(r.report)
		w.limiter.HandleReport(now, targetReport(r.report))
		return
	}
	if errors.Is(r.err, errConnect) {
		w.limiter.MarkUnreachable()
		return
	}
	w.client.close()
}

// saveReport saves a report and derives the version of its holdings from their
// content. The version is never 0, which stands for unknown holdings.
func (w *targetWorker) saveReport(r exchange.Report) {
	w.report = r
	text, err := json.Marshal(r.Holdings)
	if err == nil {
		w.version = int(xxhash.Sum64(text)>>12) | 1
	}
}

func targetReport(r exchange.Report) target.Report {
	return target.Report{Incarnation: r.Incarnation, State: target.ParseState(string(r.State)), Load: r.Load}
}

func (w *targetWorker) state() peer.TargetState {
	s := peer.TargetState{Target: w.path, Version: w.version, State: w.limiter.State().String()}
	s.Holdings = make([]peer.Holding, len(w.report.Holdings))
	for i, h := range w.report.Holdings {
		s.Holdings[i] = peer.Holding(h)
	}
	return s
}

// failAll replies to all queued and running parts when the worker stops.
func (w *targetWorker) failAll() {
	jobs, expired := w.queue.Take(nil, nil, time.Time{}, w.queue.Len())
	w.refuseAll(append(jobs, expired...), query.ReasonUnowned)
	for _, e := range w.inbox.Drain(nil) {
		w.refuseAll(e.jobs, query.ReasonUnowned)
		if e.statusTo != nil {
			e.statusTo <- w.status()
		}
		if e.stateTo != nil {
			e.stateTo <- w.state()
		}
	}
	for _, r := range w.running {
		r.cancel()
		reason := query.ReasonOwnerLost
		for _, j := range r.jobs {
			w.reply(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		}
	}
}

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

// Times of a keeper.
const (
	// reportEvery is how often a target is asked for its report.
	reportEvery = 500 * time.Millisecond
	// lostEvery is the same for a target that is lost.
	lostEvery = 200 * time.Millisecond
	// stallFactor is the factor over the usual latency, and stallLeast the
	// least time, after which an exchange without an answer is suspect.
	stallFactor = 8
	stallLeast  = 40 * time.Millisecond
)

// responder takes the answers to parts.
type responder interface {
	Reply(t peer.PartReply) bool
	SendStateIfChanged(s peer.TargetState)
	SendState(s peer.TargetState)
}

// job is a part that waits for or is in an exchange.
type job struct {
	from      responder
	ask       *peer.QueryParts
	part      peer.Part
	deadline  time.Time
	cancelled bool
	told      bool
}

// event is what a keeper's goroutine is told. One field is set.
type event struct {
	jobs     []*job
	cancel   *cancelled
	ended    *ended
	heard    *heard
	share    *target.Share
	view     *settings.Target
	state    chan<- targetStatus
	wanted   chan<- peer.TargetState
	handover *peer.ReleasedTarget
	// back is set when the target comes back into service.
	back bool
}

type cancelled struct {
	from  responder
	query int
	ids   []int
}

// ended is the end of an exchange.
type ended struct {
	run   *running
	reply exchange.Reply
	err   error
}

// heard is a report, or that there was none.
type heard struct {
	report exchange.Report
	err    error
}

// running is an exchange under way.
type running struct {
	slot   uint64
	id     string
	jobs   []*job
	began  time.Time
	cancel context.CancelFunc
	stop   bool
}

// targetStatus is the status of a target, with what its next owner needs.
type targetStatus struct {
	caller.TargetStatus
	incarnation string
	// settled is set when no exchange is under way and no slot taken.
	settled bool
}

// keeper is the owner's side of one target. Its goroutine is the only one that
// touches its gate and queue.
type keeper struct {
	address string
	path    string
	// silentAfter is the time after which a report or a cancellation is given
	// up; all duties of the keeper read it.
	silentAfter atomic.Int64
	tally       *stats.Registry
	inbox       ring.Ring[event]
	cancel      context.CancelFunc
	done        sync.WaitGroup
	over        chan struct{}

	// granted is the share that the ledger grants, and proven reports whether
	// the lease is proven.
	granted  target.Share
	proven   func(now time.Time) bool
	gate     target.Limiter
	queue    target.Queue[*job]
	link     *exchanger
	running  map[uint64]*running
	report   exchange.Report
	version  int
	sequence int
	plain    bool
	suspect  time.Time
	lastEnd  time.Time
}

func newKeeper(b *settings.Target, t *stats.Registry, o Options, proven func(time.Time) bool) *keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &keeper{
		address: b.Address(), path: b.Path(), tally: t, cancel: cancel, link: newExchanger(b, o.Network),
		running: map[uint64]*running{}, plain: o.DisablePolicies, proven: proven, over: make(chan struct{}),
	}
	k.silentAfter.Store(int64(b.Policy().ResponseTimeout()))
	k.gate.Reset(limits(b.Policy(), o.DisablePolicies))
	k.queue.Reset(b.Policy().MaxQueue())
	k.done.Go(func() { k.run(ctx) })
	k.done.Go(func() { k.poll(ctx) })
	return k
}

// limits returns the limits of a policy. The plain keeper is the baseline of
// the measurements: it takes every target for warm from the start.
func limits(p settings.Policy, plain bool) target.Limits {
	l := target.Limits{Slots: p.Slots(), Batch: p.MaxBatch(), ColdSlots: p.ColdSlots(), ColdBatch: p.MaxColdBatch(), ExchangesPerSlot: p.ExchangesPerSlot()}
	if plain {
		l.ColdSlots, l.ColdBatch, l.ExchangesPerSlot = l.Slots, l.Batch, 1
	}
	return l
}

// look returns the status of the target. A keeper that has ended is settled.
func (k *keeper) look() targetStatus {
	c := make(chan targetStatus, 1)
	if !k.inbox.Push(event{state: c}) {
		return targetStatus{}
	}
	select {
	case s := <-c:
		return s
	case <-k.over:
		return targetStatus{settled: true}
	}
}

// current returns what entries are told of the target.
func (k *keeper) current() peer.TargetState {
	c := make(chan peer.TargetState, 1)
	if !k.inbox.Push(event{wanted: c}) {
		return peer.TargetState{}
	}
	select {
	case s := <-c:
		return s
	case <-k.over:
		return peer.TargetState{}
	}
}

func (k *keeper) close() {
	k.cancel()
	k.done.Wait()
	k.link.close()
}

// poll is the duty that asks the target for its report.
func (k *keeper) poll(ctx context.Context) {
	for ctx.Err() == nil {
		wait := reportEvery
		if k.ask(ctx) != nil {
			wait = lostEvery
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// ask asks the target for its report.
func (k *keeper) ask(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, time.Duration(k.silentAfter.Load()))
	defer cancel()
	r, err := k.link.report(limited)
	if ctx.Err() == nil {
		k.inbox.Push(event{heard: &heard{r, err}})
	}
	return err
}

// run is the duty that decides what the target is given.
func (k *keeper) run(ctx context.Context) {
	defer close(k.over)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var events []event
	for {
		timer.Reset(k.sleep(time.Now()))
		select {
		case <-k.inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
			k.abandon()
			return
		}
		events = k.inbox.Drain(events[:0])
		now := time.Now()
		for _, e := range events {
			k.handle(ctx, now, e)
		}
		k.gate.ExpireSlots(now)
		k.suspectStalled(now)
		k.dispatch(ctx, now)
		if t := k.gate.TakeColdCause(); t != target.ColdCauseNone {
			k.tally.Add("target-cold-"+string(t), 1)
		}
	}
}

// sleep returns how long there is nothing to do unless something is heard.
func (k *keeper) sleep(now time.Time) time.Duration {
	next := now.Add(time.Second)
	for _, at := range []time.Time{k.gate.NextExpiry(), k.queue.EarliestDeadline(), k.stallAt()} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	return max(time.Millisecond, next.Sub(now))
}

func (k *keeper) handle(ctx context.Context, now time.Time, e event) {
	switch {
	case e.jobs != nil:
		for _, j := range e.jobs {
			k.offer(now, j)
		}
	case e.cancel != nil:
		k.drop(ctx, *e.cancel)
	case e.ended != nil:
		k.end(now, *e.ended)
	case e.heard != nil:
		k.hear(now, *e.heard)
	case e.share != nil:
		k.granted = *e.share
		k.gate.SetShare(k.usable(now))
	case e.view != nil:
		k.silentAfter.Store(int64(e.view.Policy().ResponseTimeout()))
		k.gate.SetLimits(limits(e.view.Policy(), k.plain))
	case e.state != nil:
		e.state <- k.status()
	case e.wanted != nil:
		e.wanted <- k.state()
	case e.back:
		k.gate.ReturnToService()
	case e.handover != nil:
		k.gate.RestoreState(e.handover.Incarnation, target.ParseState(e.handover.State), e.handover.Completed)
	}
}

func (k *keeper) status() targetStatus {
	return targetStatus{
		TargetStatus: caller.TargetStatus{
			Target: k.path, State: k.gate.State().String(), Taken: k.gate.SlotsInUse(),
			Queued: k.queue.Len(), Completed: k.gate.Completed(), Share: int(k.gate.Share()),
		},
		incarnation: k.gate.Incarnation(),
		settled:     len(k.running) == 0 && k.gate.SlotsInUse() == 0,
	}
}

// offer queues a part or refuses it.
func (k *keeper) offer(now time.Time, j *job) {
	if j.part.Seen != k.version && k.version != 0 {
		j.from.SendState(k.state())
	} else {
		j.from.SendStateIfChanged(k.state())
	}
	if reason := k.closed(); reason != "" {
		k.notRun(j, reason)
		return
	}
	err := k.queue.Offer(now, j.deadline, k.wait(), j)
	switch {
	case errors.Is(err, target.ErrQueueFull):
		k.notRun(j, query.ReasonQueueFull)
	case err != nil:
		k.notRun(j, query.ReasonTooLate)
	}
}

// closed returns why the target takes nothing at all, "" when it does.
func (k *keeper) closed() string {
	switch {
	case k.gate.State() == target.Leaving:
		return query.ReasonLeaving
	case k.gate.State() == target.Unreachable:
		return query.ReasonTargetLost
	case k.gate.AllowedSlots() == 0:
		return query.ReasonUnowned
	default:
		return ""
	}
}

// wait estimates how long a part that is queued now waits for its answer.
func (k *keeper) wait() time.Duration {
	usual := k.gate.TypicalLatency()
	if k.plain || usual == 0 {
		return 0
	}
	each := max(1, k.gate.BatchSize(time.Time{}))
	rounds := float64(k.queue.Len()+1) / float64(each*max(1, k.gate.AllowedSlots()))
	return time.Duration(float64(usual) * (0.5 + rounds))
}

// hear takes a report that came outside an exchange.
func (k *keeper) hear(now time.Time, h heard) {
	if h.err == nil {
		k.note(h.report)
		k.gate.HandleReport(now, heardReport(h.report))
		return
	}
	if errors.Is(h.err, errUnsent) {
		k.gate.MarkUnreachable()
		return
	}
	k.link.close()
}

// note remembers a report and names its holdings by their content.
func (k *keeper) note(r exchange.Report) {
	k.report = r
	text, err := json.Marshal(r.Holdings)
	if err == nil {
		k.version = int(xxhash.Sum64(text)>>12) | 1
	}
}

func heardReport(r exchange.Report) target.Report {
	return target.Report{Incarnation: r.Incarnation, State: target.ParseState(string(r.State)), Load: r.Load}
}

func (k *keeper) state() peer.TargetState {
	s := peer.TargetState{Target: k.path, Version: k.version, State: k.gate.State().String()}
	s.Holdings = make([]peer.Holding, len(k.report.Holdings))
	for i, h := range k.report.Holdings {
		s.Holdings[i] = peer.Holding(h)
	}
	return s
}

// abandon answers everything when the keeper ends.
func (k *keeper) abandon() {
	jobs, late := k.queue.Take(nil, nil, time.Time{}, k.queue.Len())
	k.notRunAll(append(jobs, late...), query.ReasonUnowned)
	for _, e := range k.inbox.Drain(nil) {
		k.notRunAll(e.jobs, query.ReasonUnowned)
		if e.state != nil {
			e.state <- k.status()
		}
		if e.wanted != nil {
			e.wanted <- k.state()
		}
	}
	for _, r := range k.running {
		r.cancel()
		reason := query.ReasonOwnerLost
		for _, j := range r.jobs {
			k.tell(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		}
	}
}

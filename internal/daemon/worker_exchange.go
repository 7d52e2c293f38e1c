package daemon

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/exchange"
	"fescuerill/internal/schema/peer"
	"fescuerill/query"
	"fescuerill/target"
)

// dispatch sends queued parts while slots are free.
func (w *targetWorker) dispatch(ctx context.Context, now time.Time) {
	w.limiter.SetShare(w.usableShare(now))
	for w.queue.Len() > 0 && w.limiter.FreeSlots() > 0 {
		jobs, expired := w.queue.Take(nil, nil, now.Add(w.limiter.TypicalLatency()/2), w.limiter.BatchSize(now))
		w.refuseAll(expired, query.ReasonTooLate)
		if len(jobs) == 0 {
			continue
		}
		w.send(ctx, now, jobs)
	}
	if w.refusalReason() != "" {
		w.refuseQueued()
	}
}

// usableShare returns the granted share, reduced by what requires a valid lease
// if the lease isn't valid at now. It is evaluated right before each send,
// since the process may have been paused since the share was granted.
func (w *targetWorker) usableShare(now time.Time) target.Share {
	switch {
	case w.leaseValid(now):
		return w.granted
	case w.granted == target.ShareFull:
		return target.ShareHalf
	case w.granted == target.ShareRemainder:
		return target.ShareNone
	default:
		return w.granted
	}
}

func (w *targetWorker) refuseQueued() {
	reason := w.refusalReason()
	jobs, expired := w.queue.Take(nil, nil, time.Time{}, w.queue.Len())
	w.refuseAll(append(jobs, expired...), reason)
}

func (w *targetWorker) send(ctx context.Context, now time.Time, jobs []*job) {
	until := now
	for _, j := range jobs {
		if j.deadline.After(until) {
			until = j.deadline
		}
	}
	slot, ok := w.limiter.Acquire(now, until)
	if !ok {
		w.refuseAll(jobs, query.ReasonCold)
		return
	}
	w.sequence++
	exchangeCtx, cancel := context.WithDeadline(ctx, until.Add(target.ExpiryMargin))
	r := &runningExchange{slot: slot, id: strconv.Itoa(w.sequence), jobs: jobs, startedAt: now, cancel: cancel}
	w.running[slot] = r
	q := w.newRequest(r, now, until)
	w.stats.Add("exchanges", 1)
	w.stats.Add("exchange-parts", len(jobs))
	w.done.Go(func() {
		defer cancel()
		reply, err := w.client.do(exchangeCtx, q, until)
		w.inbox.Push(event{ended: &exchangeEnd{r, reply, err}})
	})
}

// newRequest returns the message of an exchange.
func (w *targetWorker) newRequest(r *runningExchange, now, until time.Time) exchange.Request {
	q := exchange.Request{
		ExchangeID: w.path + "/" + r.id,
		BudgetUs:   int(until.Sub(now).Microseconds()), Parts: make([]exchange.Part, len(r.jobs)),
	}
	for i, j := range r.jobs {
		left := int(j.deadline.Sub(now).Microseconds())
		q.Parts[i] = exchange.Part{
			RequestID: r.id + "." + strconv.Itoa(i), Snapshot: j.query.Snapshot, Shard: j.part.Shard,
			Terms: j.query.Terms, Limit: j.query.Limit, BudgetUs: &left, Operation: j.query.Operation, Item: j.query.Item,
		}
	}
	return q
}

// handleEnd finishes the jobs of an exchange.
func (w *targetWorker) handleEnd(now time.Time, e exchangeEnd) {
	delete(w.running, e.exchange.slot)
	w.lastEnd = now
	if e.err != nil {
		w.handleFailure(e)
		return
	}
	w.saveReport(e.reply.Report)
	report := targetReport(e.reply.Report)
	if isShed(e.reply) {
		w.limiter.HandleShed(now, e.exchange.slot, report)
	} else {
		w.limiter.Complete(now, e.exchange.slot, report, anyDone(e.reply))
	}
	w.stats.Observe("exchange-latency-us", now.Sub(e.exchange.startedAt).Microseconds())
	results := map[string]*exchange.Result{}
	for i := range e.reply.Results {
		results[e.reply.Results[i].RequestID] = &e.reply.Results[i]
	}
	for i, j := range e.exchange.jobs {
		w.finishJob(j, results[e.exchange.id+"."+strconv.Itoa(i)])
	}
}

// anyDone reports whether the target completed a part of the exchange.
func anyDone(r exchange.Reply) bool {
	return slices.ContainsFunc(r.Results, func(r exchange.Result) bool { return r.Outcome == exchange.ResultOutcomeDone })
}

func isShed(r exchange.Reply) bool {
	return len(r.Results) > 0 && r.Results[0].Reason != nil && *r.Results[0].Reason == query.ReasonShed
}

// handleFailure finishes the jobs of an exchange that has no reply.
func (w *targetWorker) handleFailure(e exchangeEnd) {
	switch {
	case errors.Is(e.err, errConnect):
		w.limiter.ConnectFailed(e.exchange.slot)
		w.refuseAll(e.exchange.jobs, query.ReasonTargetLost)
		return
	case errors.Is(e.err, errExpired):
		w.limiter.Release(e.exchange.slot)
		w.refuseAll(e.exchange.jobs, query.ReasonTooLate)
		return
	}
	silent := errors.Is(e.err, context.DeadlineExceeded) || errors.Is(e.err, context.Canceled)
	reason := query.ReasonTargetLost
	if silent {
		reason = query.ReasonSilentConnection
		w.client.close()
	} else {
		w.limiter.ConnectionBroken()
	}
	w.stats.Add("exchange-failed-"+reason, 1)
	for _, j := range e.exchange.jobs {
		w.reply(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
	}
}

// finishJob replies to a part with its result. A part without a result may have
// run.
func (w *targetWorker) finishJob(j *job, r *exchange.Result) {
	if r == nil {
		reason := "no-result"
		w.stats.Add("crossed-results", 1)
		w.reply(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		return
	}
	reply := peer.PartReply{Outcome: string(r.Outcome), Reason: r.Reason, Snapshot: r.Snapshot}
	if len(r.Hits) > 0 {
		reply.Hits = make([]peer.Hit, len(r.Hits))
		for i, h := range r.Hits {
			reply.Hits[i] = peer.Hit(h)
		}
	}
	if j.part.Seen != w.version {
		j.responder.SendState(w.state())
	}
	w.reply(j, reply)
}

func (w *targetWorker) refuseAll(jobs []*job, reason string) {
	for _, j := range jobs {
		w.refuse(j, reason)
	}
}

// refuse replies to a part that never reached the target.
func (w *targetWorker) refuse(j *job, reason string) {
	notDelivered := true
	w.stats.Add("part-refused-"+reason, 1)
	w.reply(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeNotRun), Reason: &reason, Untouched: &notDelivered})
}

func (w *targetWorker) reply(j *job, r peer.PartReply) {
	if j.replied {
		return
	}
	j.replied = true
	r.Query, r.ID, r.Target = j.query.Query, j.part.ID, j.part.Target
	if r.Snapshot == 0 {
		r.Snapshot = j.query.Snapshot
	}
	if !j.responder.Reply(r) {
		w.stats.Add("answers-dropped", 1)
	}
}

// cancelJobs removes parts that are no longer needed. An exchange is
// cancelled at the target when none of its parts is needed any more. Its slot stays in use
// until the target has replied.
func (w *targetWorker) cancelJobs(ctx context.Context, c cancellation) {
	unwanted := func(j *job) bool {
		return j.responder == c.responder && j.query.Query == c.query && slices.Contains(c.ids, j.part.ID)
	}
	n := w.queue.RemoveFunc(unwanted)
	w.stats.Add("parts-cancelled-queued", n)
	for _, r := range w.running {
		wanted := false
		for _, j := range r.jobs {
			j.cancelled = j.cancelled || unwanted(j)
			wanted = wanted || !j.cancelled
		}
		if !wanted && !r.cancelSent && !w.policiesDisabled {
			r.cancelSent = true
			w.stats.Add("exchanges-cancelled", 1)
			id := w.path + "/" + r.id
			w.done.Go(func() {
				cancelCtx, cancel := context.WithTimeout(ctx, time.Duration(w.responseTimeout.Load()))
				defer cancel()
				_ = w.client.cancel(cancelCtx, id)
			})
		}
	}
}

// stallAt returns the time at which the target is suspected to have stalled:
// when the oldest exchange in flight has had no reply for too long and no other
// exchange has ended since it began. It returns the zero time if there is no
// such exchange.
func (w *targetWorker) stallAt() time.Time {
	typical := w.limiter.TypicalLatency()
	if typical == 0 || w.policiesDisabled {
		return time.Time{}
	}
	var earliest time.Time
	for _, r := range w.running {
		at := r.startedAt.Add(max(minStallTime, stallFactor*typical))
		if r.startedAt.After(w.lastSuspected) && r.startedAt.After(w.lastEnd) && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// checkStalled closes the idle connections of a target that has stalled, so
// that later exchanges use new ones. An exchange in flight is ended, and its
// connection closed, at its deadline.
func (w *targetWorker) checkStalled(now time.Time) {
	at := w.stallAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	w.lastSuspected = now
	w.stats.Add("targets-stalled", 1)
	w.client.close()
}

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
func (k *targetWorker) dispatch(ctx context.Context, now time.Time) {
	k.limiter.SetShare(k.usableShare(now))
	for k.queue.Len() > 0 && k.limiter.FreeSlots() > 0 {
		jobs, late := k.queue.Take(nil, nil, now.Add(k.limiter.TypicalLatency()/2), k.limiter.BatchSize(now))
		k.refuseAll(late, query.ReasonTooLate)
		if len(jobs) == 0 {
			continue
		}
		k.send(ctx, now, jobs)
	}
	if k.refusalReason() != "" {
		k.refuseQueued()
	}
}

// usableShare returns the granted share, reduced by what requires a valid lease
// if the lease isn't valid at now. It is evaluated right before each send,
// since the process may have been paused since the share was granted.
func (k *targetWorker) usableShare(now time.Time) target.Share {
	switch {
	case k.leaseValid(now):
		return k.granted
	case k.granted == target.ShareFull:
		return target.ShareHalf
	case k.granted == target.ShareRemainder:
		return target.ShareNone
	default:
		return k.granted
	}
}

func (k *targetWorker) refuseQueued() {
	reason := k.refusalReason()
	jobs, late := k.queue.Take(nil, nil, time.Time{}, k.queue.Len())
	k.refuseAll(append(jobs, late...), reason)
}

func (k *targetWorker) send(ctx context.Context, now time.Time, jobs []*job) {
	until := now
	for _, j := range jobs {
		if j.deadline.After(until) {
			until = j.deadline
		}
	}
	slot, ok := k.limiter.Acquire(now, until)
	if !ok {
		k.refuseAll(jobs, query.ReasonCold)
		return
	}
	k.sequence++
	limited, cancel := context.WithDeadline(ctx, until.Add(target.ExpiryMargin))
	r := &runningExchange{slot: slot, id: strconv.Itoa(k.sequence), jobs: jobs, began: now, cancel: cancel}
	k.running[slot] = r
	q := k.newRequest(r, now, until)
	k.stats.Add("exchanges", 1)
	k.stats.Add("exchange-parts", len(jobs))
	k.done.Go(func() {
		defer cancel()
		reply, err := k.client.do(limited, q, until)
		k.inbox.Push(event{ended: &exchangeEnd{r, reply, err}})
	})
}

// newRequest returns the message of an exchange.
func (k *targetWorker) newRequest(r *runningExchange, now, until time.Time) exchange.Request {
	q := exchange.Request{
		ExchangeID: k.path + "/" + r.id,
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
func (k *targetWorker) handleEnd(now time.Time, e exchangeEnd) {
	delete(k.running, e.exchange.slot)
	k.lastEnd = now
	if e.err != nil {
		k.handleFailure(e)
		return
	}
	k.saveReport(e.reply.Report)
	report := targetReport(e.reply.Report)
	if isShed(e.reply) {
		k.limiter.HandleShed(now, e.exchange.slot, report)
	} else {
		k.limiter.Complete(now, e.exchange.slot, report, anyDone(e.reply))
	}
	k.stats.Observe("exchange-latency-us", now.Sub(e.exchange.began).Microseconds())
	results := map[string]*exchange.Result{}
	for i := range e.reply.Results {
		results[e.reply.Results[i].RequestID] = &e.reply.Results[i]
	}
	for i, j := range e.exchange.jobs {
		k.finishJob(j, results[e.exchange.id+"."+strconv.Itoa(i)])
	}
}

// anyDone reports whether the target completed a part of the exchange.
func anyDone(r exchange.Reply) bool {
	return slices.ContainsFunc(r.Results, func(one exchange.Result) bool { return one.Outcome == exchange.ResultOutcomeDone })
}

func isShed(r exchange.Reply) bool {
	return len(r.Results) > 0 && r.Results[0].Reason != nil && *r.Results[0].Reason == query.ReasonShed
}

// handleFailure finishes the jobs of an exchange that has no reply.
func (k *targetWorker) handleFailure(e exchangeEnd) {
	switch {
	case errors.Is(e.err, errConnect):
		k.limiter.ConnectFailed(e.exchange.slot)
		k.refuseAll(e.exchange.jobs, query.ReasonTargetLost)
		return
	case errors.Is(e.err, errExpired):
		k.limiter.Release(e.exchange.slot)
		k.refuseAll(e.exchange.jobs, query.ReasonTooLate)
		return
	}
	silent := errors.Is(e.err, context.DeadlineExceeded) || errors.Is(e.err, context.Canceled)
	reason := query.ReasonTargetLost
	if silent {
		reason = query.ReasonSilentConnection
		k.client.close()
	} else {
		k.limiter.ConnectionBroken()
	}
	k.stats.Add("exchange-failed-"+reason, 1)
	for _, j := range e.exchange.jobs {
		k.reply(j, peer.Told{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
	}
}

// finishJob replies to a part with its result. A part without a result may have
// run.
func (k *targetWorker) finishJob(j *job, r *exchange.Result) {
	if r == nil {
		reason := "no-result"
		k.stats.Add("crossed-results", 1)
		k.reply(j, peer.Told{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		return
	}
	t := peer.Told{Outcome: string(r.Outcome), Reason: r.Reason, Snapshot: r.Snapshot}
	if len(r.Hits) > 0 {
		t.Hits = make([]peer.Hit, len(r.Hits))
		for i, h := range r.Hits {
			t.Hits[i] = peer.Hit(h)
		}
	}
	if j.part.Seen != k.version {
		j.responder.Refresh(k.state())
	}
	k.reply(j, t)
}

func (k *targetWorker) refuseAll(jobs []*job, reason string) {
	for _, j := range jobs {
		k.refuse(j, reason)
	}
}

// refuse replies to a part that never reached the target.
func (k *targetWorker) refuse(j *job, reason string) {
	untouched := true
	k.stats.Add("part-refused-"+reason, 1)
	k.reply(j, peer.Told{Outcome: string(exchange.ResultOutcomeNotRun), Reason: &reason, Untouched: &untouched})
}

func (k *targetWorker) reply(j *job, t peer.Told) {
	if j.replied {
		return
	}
	j.replied = true
	t.Query, t.ID, t.Target = j.query.Query, j.part.ID, j.part.Target
	if t.Snapshot == 0 {
		t.Snapshot = j.query.Snapshot
	}
	if !j.responder.Tell(t) {
		k.stats.Add("answers-dropped", 1)
	}
}

// cancelJobs removes parts that are no longer needed. An exchange of which no
// part is needed any more is cancelled at the target. Its slot stays in use
// until the target has replied.
func (k *targetWorker) cancelJobs(ctx context.Context, c cancellation) {
	unwanted := func(j *job) bool {
		return j.responder == c.responder && j.query.Query == c.query && slices.Contains(c.ids, j.part.ID)
	}
	n := k.queue.RemoveFunc(unwanted)
	k.stats.Add("parts-cancelled-queued", n)
	for _, r := range k.running {
		wanted := false
		for _, j := range r.jobs {
			j.cancelled = j.cancelled || unwanted(j)
			wanted = wanted || !j.cancelled
		}
		if !wanted && !r.cancelSent && !k.policiesDisabled {
			r.cancelSent = true
			k.stats.Add("exchanges-cancelled", 1)
			id := k.path + "/" + r.id
			k.done.Go(func() {
				limited, cancel := context.WithTimeout(ctx, time.Duration(k.responseTimeout.Load()))
				defer cancel()
				_ = k.client.cancel(limited, id)
			})
		}
	}
}

// stallAt returns the time at which the target is suspected to have stalled:
// when the oldest exchange in flight has had no reply for too long and no other
// exchange has ended since it began. It returns the zero time if there is no
// such exchange.
func (k *targetWorker) stallAt() time.Time {
	usual := k.limiter.TypicalLatency()
	if usual == 0 || k.policiesDisabled {
		return time.Time{}
	}
	var first time.Time
	for _, r := range k.running {
		at := r.began.Add(max(minStallTime, stallFactor*usual))
		if r.began.After(k.lastSuspected) && r.began.After(k.lastEnd) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// checkStalled closes the idle connections of a target that has stalled, so
// that later exchanges use new ones. An exchange in flight is ended, and its
// connection closed, at its deadline.
func (k *targetWorker) checkStalled(now time.Time) {
	at := k.stallAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	k.lastSuspected = now
	k.stats.Add("targets-stalled", 1)
	k.client.close()
}

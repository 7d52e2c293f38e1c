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

// dispatch fills free slots from the queue.
func (k *keeper) dispatch(ctx context.Context, now time.Time) {
	k.gate.SetShare(k.usable(now))
	for k.queue.Len() > 0 && k.gate.FreeSlots() > 0 {
		jobs, late := k.queue.Take(nil, nil, now.Add(k.gate.TypicalLatency()/2), k.gate.BatchSize(now))
		k.notRunAll(late, query.ReasonTooLate)
		if len(jobs) == 0 {
			continue
		}
		k.send(ctx, now, jobs)
	}
	if k.closed() != "" {
		k.refuseQueued()
	}
}

// usable returns the share that was granted, less what needs a proven lease when
// it is not proven now. It is asked right before each send, since the process
// may have been paused since the share was granted.
func (k *keeper) usable(now time.Time) target.Share {
	switch {
	case k.proven(now):
		return k.granted
	case k.granted == target.ShareFull:
		return target.ShareHalf
	case k.granted == target.ShareRemainder:
		return target.ShareNone
	default:
		return k.granted
	}
}

func (k *keeper) refuseQueued() {
	reason := k.closed()
	jobs, late := k.queue.Take(nil, nil, time.Time{}, k.queue.Len())
	k.notRunAll(append(jobs, late...), reason)
}

func (k *keeper) send(ctx context.Context, now time.Time, jobs []*job) {
	until := now
	for _, j := range jobs {
		if j.deadline.After(until) {
			until = j.deadline
		}
	}
	slot, ok := k.gate.Acquire(now, until)
	if !ok {
		k.notRunAll(jobs, query.ReasonCold)
		return
	}
	k.sequence++
	limited, cancel := context.WithDeadline(ctx, until.Add(target.ExpiryMargin))
	r := &running{slot: slot, id: strconv.Itoa(k.sequence), jobs: jobs, began: now, cancel: cancel}
	k.running[slot] = r
	q := k.request(r, now, until)
	k.tally.Add("exchanges", 1)
	k.tally.Add("exchange-parts", len(jobs))
	k.done.Go(func() {
		defer cancel()
		reply, err := k.link.do(limited, q, until)
		k.inbox.Push(event{ended: &ended{r, reply, err}})
	})
}

// request makes the message of an exchange.
func (k *keeper) request(r *running, now, until time.Time) exchange.Request {
	q := exchange.Request{
		ExchangeID: k.path + "/" + r.id,
		BudgetUs:   int(until.Sub(now).Microseconds()), Parts: make([]exchange.Part, len(r.jobs)),
	}
	for i, j := range r.jobs {
		left := int(j.deadline.Sub(now).Microseconds())
		q.Parts[i] = exchange.Part{
			RequestID: r.id + "." + strconv.Itoa(i), Snapshot: j.ask.Snapshot, Shard: j.part.Shard,
			Terms: j.ask.Terms, Limit: j.ask.Limit, BudgetUs: &left, Operation: j.ask.Operation, Item: j.ask.Item,
		}
	}
	return q
}

// end settles the jobs of an exchange.
func (k *keeper) end(now time.Time, e ended) {
	delete(k.running, e.run.slot)
	k.lastEnd = now
	if e.err != nil {
		k.failed(e)
		return
	}
	k.note(e.reply.Report)
	report := heardReport(e.reply.Report)
	if shed(e.reply) {
		k.gate.HandleShed(now, e.run.slot, report)
	} else {
		k.gate.Complete(now, e.run.slot, report, worked(e.reply))
	}
	k.tally.Observe("exchange-latency-us", now.Sub(e.run.began).Microseconds())
	results := map[string]*exchange.Result{}
	for i := range e.reply.Results {
		results[e.reply.Results[i].RequestID] = &e.reply.Results[i]
	}
	for i, j := range e.run.jobs {
		k.settle(j, results[e.run.id+"."+strconv.Itoa(i)])
	}
}

// worked reports whether the target ran an exchange to its end.
func worked(r exchange.Reply) bool {
	return slices.ContainsFunc(r.Results, func(one exchange.Result) bool { return one.Outcome == exchange.ResultOutcomeDone })
}

func shed(r exchange.Reply) bool {
	return len(r.Results) > 0 && r.Results[0].Reason != nil && *r.Results[0].Reason == query.ReasonShed
}

// failed settles the jobs of an exchange without a reply.
func (k *keeper) failed(e ended) {
	switch {
	case errors.Is(e.err, errUnsent):
		k.gate.ConnectFailed(e.run.slot)
		k.notRunAll(e.run.jobs, query.ReasonTargetLost)
		return
	case errors.Is(e.err, errExpired):
		k.gate.Release(e.run.slot)
		k.notRunAll(e.run.jobs, query.ReasonTooLate)
		return
	}
	silent := errors.Is(e.err, context.DeadlineExceeded) || errors.Is(e.err, context.Canceled)
	reason := query.ReasonTargetLost
	if silent {
		reason = query.ReasonSilentConnection
		k.link.close()
	} else {
		k.gate.ConnectionBroken()
	}
	k.tally.Add("exchange-failed-"+reason, 1)
	for _, j := range e.run.jobs {
		k.tell(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
	}
}

// settle hands a result to whoever asked for it. A result that is missing may
// have run.
func (k *keeper) settle(j *job, r *exchange.Result) {
	if r == nil {
		reason := "no-result"
		k.tally.Add("crossed-results", 1)
		k.tell(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeUnknown), Reason: &reason})
		return
	}
	t := peer.PartReply{Outcome: string(r.Outcome), Reason: r.Reason, Snapshot: r.Snapshot}
	if len(r.Hits) > 0 {
		t.Hits = make([]peer.Hit, len(r.Hits))
		for i, h := range r.Hits {
			t.Hits[i] = peer.Hit(h)
		}
	}
	if j.part.Seen != k.version {
		j.from.SendState(k.state())
	}
	k.tell(j, t)
}

func (k *keeper) notRunAll(jobs []*job, reason string) {
	for _, j := range jobs {
		k.notRun(j, reason)
	}
}

// notRun answers a part that never reached the target.
func (k *keeper) notRun(j *job, reason string) {
	untouched := true
	k.tally.Add("part-refused-"+reason, 1)
	k.tell(j, peer.PartReply{Outcome: string(exchange.ResultOutcomeNotRun), Reason: &reason, Untouched: &untouched})
}

func (k *keeper) tell(j *job, t peer.PartReply) {
	if j.told {
		return
	}
	j.told = true
	t.Query, t.ID, t.Target = j.ask.Query, j.part.ID, j.part.Target
	if t.Snapshot == 0 {
		t.Snapshot = j.ask.Snapshot
	}
	if !j.from.Reply(t) {
		k.tally.Add("answers-dropped", 1)
	}
}

// drop takes out parts that are no longer wanted. An exchange in which nothing
// is wanted any more is cancelled at the target; its slot stays taken until the
// target has answered.
func (k *keeper) drop(ctx context.Context, c cancelled) {
	unwanted := func(j *job) bool {
		return j.from == c.from && j.ask.Query == c.query && slices.Contains(c.ids, j.part.ID)
	}
	n := k.queue.RemoveFunc(unwanted)
	k.tally.Add("parts-cancelled-queued", n)
	for _, r := range k.running {
		wanted := false
		for _, j := range r.jobs {
			j.cancelled = j.cancelled || unwanted(j)
			wanted = wanted || !j.cancelled
		}
		if !wanted && !r.stop && !k.plain {
			r.stop = true
			k.tally.Add("exchanges-cancelled", 1)
			id := k.path + "/" + r.id
			k.done.Go(func() {
				limited, cancel := context.WithTimeout(ctx, time.Duration(k.silentAfter.Load()))
				defer cancel()
				_ = k.link.cancel(limited, id)
			})
		}
	}
}

// stallAt returns when the target is to be taken for quiet: when the oldest
// exchange under way has no answer for too long, and no other has ended since
// it began. It returns the zero time when there is none.
func (k *keeper) stallAt() time.Time {
	usual := k.gate.TypicalLatency()
	if usual == 0 || k.plain {
		return time.Time{}
	}
	var first time.Time
	for _, r := range k.running {
		at := r.began.Add(max(stallLeast, stallFactor*usual))
		if r.began.After(k.suspect) && r.began.After(k.lastEnd) && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// suspectStalled closes the idle connections of a target that has gone quiet,
// so that what is sent next goes over new ones. An exchange that was under way
// is given up, and its connection closed, when its deadline has passed.
func (k *keeper) suspectStalled(now time.Time) {
	at := k.stallAt()
	if at.IsZero() || now.Before(at) {
		return
	}
	k.suspect = now
	k.tally.Add("targets-stalled", 1)
	k.link.close()
}

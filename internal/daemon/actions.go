package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/invariant"
	"fescuerill/internal/schema/caller"
	"fescuerill/internal/schema/peer"
	"fescuerill/outcome"
	"fescuerill/query"
	"fescuerill/ring"
	"fescuerill/settings"
	"fescuerill/target"
)

// Bounds of the memory of outcomes.
const (
	// outcomesKept is how long an outcome is remembered and a ticket can be
	// used.
	outcomesKept = 10 * time.Minute
	// outcomesMost is the number of outcomes remembered at most.
	outcomesMost = 65536
	// actionTime is how long a non-idempotent request may take.
	actionTime = 500 * time.Millisecond
)

// actions runs non-idempotent requests, each at most once.
type actions struct {
	daemon *Daemon
	mu     sync.Mutex
	memory outcome.Table
}

func newActions(d *Daemon) *actions {
	a := &actions{daemon: d}
	a.memory.Reset(outcomesMost, outcomesKept)
	return a
}

// ticket pins idempotency keys to this incarnation from now on.
func (a *actions) ticket() caller.Ticket {
	return caller.Ticket{
		Host: a.daemon.ID(), Incarnation: a.daemon.incarnation,
		StampMs: int(time.Since(a.daemon.began).Milliseconds()), KeepMs: int(outcomesKept.Milliseconds()),
	}
}

// run answers a non-idempotent request. It runs only under a ticket of this
// incarnation that is not too old, and only when no request with its key was
// seen that may have run.
func (a *actions) run(ctx context.Context, q caller.Action) (caller.Outcome, *failure) {
	age := time.Since(a.daemon.began) - time.Duration(q.StampMs)*time.Millisecond
	if q.Incarnation != a.daemon.incarnation {
		return caller.Outcome{}, unknownOutcome("other-incarnation")
	}
	if age < 0 || age > outcomesKept {
		return caller.Outcome{}, unknownOutcome("ticket-expired")
	}
	v := a.daemon.entry.view.Load()
	if v == nil || v.Service(q.Service) == nil {
		return a.unserved(v)
	}
	if a.daemon.gossip.isolated(time.Now()) {
		return caller.Outcome{}, notRun("isolated", settings.DefaultRetryAfter)
	}
	a.mu.Lock()
	state, result, done, err := a.memory.Begin(time.Now(), q.IdempotencyKey)
	a.mu.Unlock()
	switch {
	case errors.Is(err, outcome.ErrFull):
		return caller.Outcome{}, notRun("outcomes-full", settings.DefaultRetryAfter)
	case state == outcome.Running:
		return a.await(ctx, q, done)
	case state != outcome.New:
		return a.say(q, state, result, true)
	}
	// The request goes on when its caller goes away: its outcome is for a retry.
	state, result = a.send(v, q)
	a.mu.Lock()
	a.memory.End(q.IdempotencyKey, state, result)
	a.mu.Unlock()
	return a.say(q, state, result, false)
}

func (a *actions) unserved(v *settings.Resolved) (caller.Outcome, *failure) {
	if v == nil {
		return caller.Outcome{}, notRun("no-settings", settings.DefaultRetryAfter)
	}
	return caller.Outcome{}, badRequest("unknown-service", "no service has this path")
}

func (a *actions) await(ctx context.Context, q caller.Action, done <-chan struct{}) (caller.Outcome, *failure) {
	select {
	case <-done:
	case <-ctx.Done():
		return caller.Outcome{}, unknownOutcome("still-running")
	}
	a.mu.Lock()
	state, result := a.memory.Lookup(q.IdempotencyKey)
	a.mu.Unlock()
	return a.say(q, state, result, true)
}

func (a *actions) say(q caller.Action, s outcome.State, result string, replayed bool) (caller.Outcome, *failure) {
	switch s {
	case outcome.Completed:
		return caller.Outcome{IdempotencyKey: q.IdempotencyKey, Host: a.daemon.ID(), Result: result, Replayed: replayed}, nil
	case outcome.NotRun:
		return caller.Outcome{}, notRun(result, settings.DefaultRetryAfter)
	default:
		return caller.Outcome{}, unknownOutcome(result)
	}
}

// send asks one target after another until one of them runs the request or may
// have run it.
func (a *actions) send(v *settings.Resolved, q caller.Action) (outcome.State, string) {
	e := a.daemon.entry
	number := int(e.number.Add(1))
	inbox := &ring.Ring[peer.PartReply]{}
	e.mu.Lock()
	e.waiting[number] = inbox
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.waiting, number)
		e.mu.Unlock()
	}()
	deadline := time.Now().Add(actionTime)
	reason := "no-target"
	for i, b := range a.targets(v, q) {
		if !time.Now().Before(deadline) {
			break
		}
		a.daemon.port(b.Path()).SendParts(peer.QueryParts{
			Query: number, Snapshot: 0, Terms: "", Limit: 1, BudgetUs: int(time.Until(deadline).Microseconds()),
			Operation: &q.Operation, Item: &q.Item,
			Parts: []peer.Part{{ID: i, Target: b.Path(), Shard: 0, Seen: e.catalog.Version(b.Path())}},
		})
		t, ok := a.hear(inbox, i, deadline.Add(2*target.ExpiryMargin))
		if !ok {
			return outcome.Unknown, "no-answer"
		}
		if t.Reason != nil {
			reason = *t.Reason
		}
		switch parseOutcome(t.Outcome) {
		case query.Done:
			return outcome.Completed, resultOf(t)
		case query.Unknown:
			return outcome.Unknown, reason
		}
		a.daemon.tally.Add("action-retry-"+reason, 1)
	}
	return outcome.NotRun, reason
}

func resultOf(t peer.PartReply) string {
	if len(t.Hits) == 0 {
		return ""
	}
	return t.Hits[0].Text
}

// targets returns the targets that may run the request, in the same order for
// each item.
func (a *actions) targets(v *settings.Resolved, q caller.Action) []*settings.Target {
	all := v.Service(q.Service).Targets()
	first := int(hash(q.Item) % uint64(len(all)))
	var out []*settings.Target
	for i := range all {
		if b := all[(first+i)%len(all)]; v.AcceptsWork(b) {
			out = append(out, b)
		}
	}
	return out
}

// hear waits for the answer to one ask. Answers to earlier asks cannot come,
// since each ask is made after the answer to the one before.
func (a *actions) hear(inbox *ring.Ring[peer.PartReply], id int, until time.Time) (peer.PartReply, bool) {
	timer := time.NewTimer(max(time.Until(until), time.Nanosecond))
	defer timer.Stop()
	for {
		for _, t := range inbox.Drain(nil) {
			invariant.Check(t.ID <= id, "answer-to-own-request", "id", t.ID)
			if t.ID == id {
				return t, true
			}
		}
		select {
		case <-inbox.Ready():
		case <-timer.C:
			return peer.PartReply{}, false
		}
	}
}

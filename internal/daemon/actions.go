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

// Limits of the outcome table and of an action.
const (
	// outcomeRetention is how long an outcome is kept and a ticket is valid.
	outcomeRetention = 10 * time.Minute
	// maxOutcomes is the maximum number of outcomes kept.
	maxOutcomes = 65536
	// actionTimeout is the timeout of a non-idempotent request.
	actionTimeout = 500 * time.Millisecond
)

// actions runs non-idempotent requests, each at most once.
type actions struct {
	daemon   *Daemon
	mu       sync.Mutex
	outcomes outcome.Table
}

func newActions(d *Daemon) *actions {
	a := &actions{daemon: d}
	a.outcomes.Reset(maxOutcomes, outcomeRetention)
	return a
}

// ticket returns a ticket that binds idempotency keys to this incarnation of
// the host from now on.
func (a *actions) ticket() caller.Ticket {
	return caller.Ticket{
		Host: a.daemon.ID(), Incarnation: a.daemon.incarnation,
		StampMs: int(time.Since(a.daemon.startedAt).Milliseconds()), KeepMs: int(outcomeRetention.Milliseconds()),
	}
}

// run handles a non-idempotent request. The request is sent to a target only
// under an unexpired ticket of this incarnation, and only if no request with
// the same key may have run already.
func (a *actions) run(ctx context.Context, q caller.Action) (caller.Outcome, *failure) {
	age := time.Since(a.daemon.startedAt) - time.Duration(q.StampMs)*time.Millisecond
	if q.Incarnation != a.daemon.incarnation {
		return caller.Outcome{}, unknownOutcome("other-incarnation")
	}
	if age < 0 || age > outcomeRetention {
		return caller.Outcome{}, unknownOutcome("ticket-expired")
	}
	resolved := a.daemon.coordinator.settings.Load()
	if resolved == nil || resolved.Service(q.Service) == nil {
		return a.failUnserved(resolved)
	}
	if a.daemon.gossip.isolated(time.Now()) {
		return caller.Outcome{}, notRun("isolated", settings.DefaultRetryAfter)
	}
	a.mu.Lock()
	state, result, done, err := a.outcomes.Begin(time.Now(), q.IdempotencyKey)
	a.mu.Unlock()
	switch {
	case errors.Is(err, outcome.ErrFull):
		return caller.Outcome{}, notRun("outcomes-full", settings.DefaultRetryAfter)
	case state == outcome.Running:
		return a.await(ctx, q, done)
	case state != outcome.New:
		return a.respond(q, state, result, true)
	}
	// The request continues when its caller disconnects, so that a retry finds
	// its outcome.
	state, result = a.send(resolved, q)
	a.mu.Lock()
	a.outcomes.End(q.IdempotencyKey, state, result)
	a.mu.Unlock()
	return a.respond(q, state, result, false)
}

func (a *actions) failUnserved(resolved *settings.Resolved) (caller.Outcome, *failure) {
	if resolved == nil {
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
	state, result := a.outcomes.Lookup(q.IdempotencyKey)
	a.mu.Unlock()
	return a.respond(q, state, result, true)
}

func (a *actions) respond(q caller.Action, s outcome.State, result string, replayed bool) (caller.Outcome, *failure) {
	switch s {
	case outcome.Completed:
		return caller.Outcome{IdempotencyKey: q.IdempotencyKey, Host: a.daemon.ID(), Result: result, Replayed: replayed}, nil
	case outcome.NotRun:
		return caller.Outcome{}, notRun(result, settings.DefaultRetryAfter)
	default:
		return caller.Outcome{}, unknownOutcome(result)
	}
}

// send sends the request to one target after another until one of them runs it
// or may have run it.
func (a *actions) send(resolved *settings.Resolved, q caller.Action) (outcome.State, string) {
	c := a.daemon.coordinator
	number := int(c.lastNumber.Add(1))
	inbox := &ring.Ring[peer.PartReply]{}
	c.mu.Lock()
	c.inboxes[number] = inbox
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.inboxes, number)
		c.mu.Unlock()
	}()
	deadline := time.Now().Add(actionTimeout)
	reason := "no-target"
	for i, t := range a.targets(resolved, q) {
		if !time.Now().Before(deadline) {
			break
		}
		a.daemon.ownerFor(t.Path()).SendParts(peer.QueryParts{
			Query: number, Snapshot: 0, Terms: "", Limit: 1, BudgetUs: int(time.Until(deadline).Microseconds()),
			Operation: &q.Operation, Item: &q.Item,
			Parts: []peer.Part{{ID: i, Target: t.Path(), Shard: 0, Seen: c.catalog.Version(t.Path())}},
		})
		reply, ok := a.awaitReply(inbox, i, deadline.Add(2*target.ExpiryMargin))
		if !ok {
			return outcome.Unknown, "no-answer"
		}
		if reply.Reason != nil {
			reason = *reply.Reason
		}
		switch parseOutcome(reply.Outcome) {
		case query.Done:
			return outcome.Completed, resultOf(reply)
		case query.Unknown:
			return outcome.Unknown, reason
		}
		a.daemon.stats.Add("action-retry-"+reason, 1)
	}
	return outcome.NotRun, reason
}

func resultOf(reply peer.PartReply) string {
	if len(reply.Hits) == 0 {
		return ""
	}
	return reply.Hits[0].Text
}

// targets returns the targets that are able to run the request. The item
// determines their order.
func (a *actions) targets(resolved *settings.Resolved, q caller.Action) []*settings.Target {
	all := resolved.Service(q.Service).Targets()
	first := int(hash(q.Item) % uint64(len(all)))
	var out []*settings.Target
	for i := range all {
		if t := all[(first+i)%len(all)]; resolved.AcceptsWork(t) {
			out = append(out, t)
		}
	}
	return out
}

// awaitReply waits for the reply to one part. No reply to an earlier part can
// arrive, since each part is sent only after the reply to the one before.
func (a *actions) awaitReply(inbox *ring.Ring[peer.PartReply], id int, until time.Time) (peer.PartReply, bool) {
	timer := time.NewTimer(max(time.Until(until), time.Nanosecond))
	defer timer.Stop()
	for {
		for _, reply := range inbox.Drain(nil) {
			invariant.Check(reply.ID <= id, "answer-to-own-request", "id", reply.ID)
			if reply.ID == id {
				return reply, true
			}
		}
		select {
		case <-inbox.Ready():
		case <-timer.C:
			return peer.PartReply{}, false
		}
	}
}

package daemon

import (
	"context"
	"time"

	"fescuerill/internal/schema/peer"
	"fescuerill/query"
	"fescuerill/ring"
)

// attempt runs a query under one snapshot.
type attempt struct {
	coordinator *coordinator
	number      int
	search      search
	query       query.Query
	// sentAt maps the ID of each part request in flight to the time at which
	// it was sent.
	sentAt map[int]time.Time
}

// run drives the query until it is finished, its deadline has passed or ctx
// ends.
func (a *attempt) run(ctx context.Context, inbox *ring.Ring[peer.PartReply]) {
	now := time.Now()
	a.send(now, a.query.Begin(now))
	timer := time.NewTimer(max(a.query.NextTick().Sub(now), time.Nanosecond))
	defer timer.Stop()
	var replies []peer.PartReply
	for !a.query.Finished() && time.Now().Before(a.search.deadline) && ctx.Err() == nil {
		timer.Reset(max(time.Until(a.query.NextTick()), time.Nanosecond))
		select {
		case <-inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
		}
		replies = inbox.Drain(replies[:0])
		now = time.Now()
		for _, t := range replies {
			a.handleReply(now, t)
		}
		if !now.Before(a.query.NextTick()) {
			a.send(now, a.query.Tick(now))
		}
		a.cancel(a.query.RequestsToCancel(nil, false))
	}
	a.cancel(a.query.RequestsToCancel(nil, true))
}

func (a *attempt) handleReply(now time.Time, t peer.PartReply) {
	sent, ok := a.sentAt[t.ID]
	delete(a.sentAt, t.ID)
	outcome := parseOutcome(t.Outcome)
	if ok {
		switch outcome {
		case query.Done:
			latency := now.Sub(sent)
			a.coordinator.latencies.Add(now, groupOf(t.Target), latency)
			a.coordinator.observed.finished(t.Target, latency)
		case query.Unknown:
			a.coordinator.observed.abandoned(t.Target, now.Sub(sent))
		default:
			a.coordinator.observed.finished(t.Target, 0)
		}
	}
	reply := query.PartReply{ID: t.ID, Target: t.Target, Snapshot: t.Snapshot, Outcome: outcome, Hits: make([]query.Hit, len(t.Hits))}
	if t.Reason != nil {
		reply.Reason = *t.Reason
	}
	reply.NotDelivered = t.Untouched != nil && *t.Untouched
	for i, h := range t.Hits {
		reply.Hits[i] = query.Hit{Document: h.Document, Score: h.Score, Text: h.Text}
	}
	if outcome != query.Done {
		a.coordinator.stats.Add("retry-cause-"+reply.Reason, 1)
	}
	a.send(now, a.query.HandleReply(now, reply))
}

func parseOutcome(name string) query.Outcome {
	switch name {
	case "done":
		return query.Done
	case "not-run":
		return query.NotRun
	default:
		return query.Unknown
	}
}

// send groups part requests by the owner of their target and sends them.
func (a *attempt) send(now time.Time, requests []query.PartRequest) {
	grouped := map[ownerClient]*peer.QueryParts{}
	for _, r := range requests {
		to := a.coordinator.ownerFor(r.Target)
		m := grouped[to]
		if m == nil {
			m = &peer.QueryParts{
				Query: a.number, Snapshot: a.query.Snapshot(), Terms: a.search.terms, Limit: a.search.limit,
				BudgetUs: int(a.search.deadline.Sub(now).Microseconds()),
			}
			grouped[to] = m
		}
		a.sentAt[r.ID] = now
		a.coordinator.observed.started(r.Target)
		m.Parts = append(m.Parts, peer.Part{ID: r.ID, Target: r.Target, Shard: r.Shard.Number(), Seen: a.coordinator.catalog.Version(r.Target)})
	}
	for to, m := range grouped {
		to.SendParts(*m)
	}
}

// cancel tells the owners which parts are no longer needed.
func (a *attempt) cancel(requests []query.PartRequest) {
	grouped := map[ownerClient]*peer.Cancel{}
	now := time.Now()
	for _, r := range requests {
		sent, ok := a.sentAt[r.ID]
		if !ok {
			continue
		}
		delete(a.sentAt, r.ID)
		a.coordinator.observed.abandoned(r.Target, now.Sub(sent))
		to := a.coordinator.ownerFor(r.Target)
		if grouped[to] == nil {
			grouped[to] = &peer.Cancel{Query: a.number}
		}
		grouped[to].Ids = append(grouped[to].Ids, r.ID)
	}
	for to, c := range grouped {
		to.Cancel(*c)
	}
}

func (a *attempt) count() {
	c, r := a.query.Counts(), a.coordinator.stats
	r.Add("parts-first", c.Initial)
	r.Add("parts-retried", c.Retries)
	r.Add("parts-hedged", c.Hedges)
	r.Add("parts-extra", c.Additional)
	r.Add("hedges-won", c.HedgesWon)
	r.Add("answers-late", c.LateReplies)
	r.Add("answers-crossed", c.MismatchedReplies)
	r.Add("budget-refused", c.BudgetExhausted)
}

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
		for _, r := range replies {
			a.handleReply(now, r)
		}
		if !now.Before(a.query.NextTick()) {
			a.send(now, a.query.Tick(now))
		}
		a.cancel(a.query.RequestsToCancel(nil, false))
	}
	a.cancel(a.query.RequestsToCancel(nil, true))
}

func (a *attempt) handleReply(now time.Time, r peer.PartReply) {
	sent, ok := a.sentAt[r.ID]
	delete(a.sentAt, r.ID)
	outcome := parseOutcome(r.Outcome)
	if ok {
		switch outcome {
		case query.Done:
			latency := now.Sub(sent)
			a.coordinator.latencies.Add(now, groupOf(r.Target), latency)
			a.coordinator.observed.finished(r.Target, latency)
		case query.Unknown:
			a.coordinator.observed.abandoned(r.Target, now.Sub(sent))
		default:
			a.coordinator.observed.finished(r.Target, 0)
		}
	}
	reply := query.PartReply{ID: r.ID, Target: r.Target, Snapshot: r.Snapshot, Outcome: outcome, Hits: make([]query.Hit, len(r.Hits))}
	if r.Reason != nil {
		reply.Reason = *r.Reason
	}
	reply.NotDelivered = r.Untouched != nil && *r.Untouched
	for i, h := range r.Hits {
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
	c, registry := a.query.Counts(), a.coordinator.stats
	registry.Add("parts-first", c.Initial)
	registry.Add("parts-retried", c.Retries)
	registry.Add("parts-hedged", c.Hedges)
	registry.Add("parts-extra", c.Additional)
	registry.Add("hedges-won", c.HedgesWon)
	registry.Add("answers-late", c.LateReplies)
	registry.Add("answers-crossed", c.MismatchedReplies)
	registry.Add("budget-refused", c.BudgetExhausted)
}

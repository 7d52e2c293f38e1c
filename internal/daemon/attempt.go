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
	entry  *entry
	number int
	search search
	query  query.Query
	sentAt map[int]time.Time
}

// run drives the query until it is finished, its deadline has passed or ctx
// ends.
func (p *attempt) run(ctx context.Context, inbox *ring.Ring[peer.PartReply]) {
	now := time.Now()
	p.send(now, p.query.Begin(now))
	timer := time.NewTimer(max(p.query.NextTick().Sub(now), time.Nanosecond))
	defer timer.Stop()
	var replies []peer.PartReply
	for !p.query.Finished() && time.Now().Before(p.search.deadline) && ctx.Err() == nil {
		timer.Reset(max(time.Until(p.query.NextTick()), time.Nanosecond))
		select {
		case <-inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
		}
		replies = inbox.Drain(replies[:0])
		now = time.Now()
		for _, t := range replies {
			p.handleReply(now, t)
		}
		if !now.Before(p.query.NextTick()) {
			p.send(now, p.query.Tick(now))
		}
		p.cancel(p.query.RequestsToCancel(nil, false))
	}
	p.cancel(p.query.RequestsToCancel(nil, true))
}

func (p *attempt) handleReply(now time.Time, t peer.PartReply) {
	sent, ok := p.sentAt[t.ID]
	delete(p.sentAt, t.ID)
	outcome := parseOutcome(t.Outcome)
	if ok {
		switch outcome {
		case query.Done:
			latency := now.Sub(sent)
			p.entry.latencies.Add(now, groupOf(t.Target), latency)
			p.entry.observed.finished(t.Target, latency)
		case query.Unknown:
			p.entry.observed.abandoned(t.Target, now.Sub(sent))
		default:
			p.entry.observed.finished(t.Target, 0)
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
		p.entry.stats.Add("retry-cause-"+reply.Reason, 1)
	}
	p.send(now, p.query.HandleReply(now, reply))
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
func (p *attempt) send(now time.Time, requests []query.PartRequest) {
	grouped := map[port]*peer.QueryParts{}
	for _, a := range requests {
		to := p.entry.portFor(a.Target)
		m := grouped[to]
		if m == nil {
			m = &peer.QueryParts{
				Query: p.number, Snapshot: p.query.Snapshot(), Terms: p.search.terms, Limit: p.search.limit,
				BudgetUs: int(p.search.deadline.Sub(now).Microseconds()),
			}
			grouped[to] = m
		}
		p.sentAt[a.ID] = now
		p.entry.observed.started(a.Target)
		m.Parts = append(m.Parts, peer.Part{ID: a.ID, Target: a.Target, Shard: a.Shard.Number(), Seen: p.entry.catalog.Version(a.Target)})
	}
	for to, m := range grouped {
		to.SendParts(*m)
	}
}

// cancel tells the owners which parts are no longer needed.
func (p *attempt) cancel(requests []query.PartRequest) {
	grouped := map[port]*peer.Cancel{}
	now := time.Now()
	for _, a := range requests {
		sent, ok := p.sentAt[a.ID]
		if !ok {
			continue
		}
		delete(p.sentAt, a.ID)
		p.entry.observed.abandoned(a.Target, now.Sub(sent))
		to := p.entry.portFor(a.Target)
		if grouped[to] == nil {
			grouped[to] = &peer.Cancel{Query: p.number}
		}
		grouped[to].Ids = append(grouped[to].Ids, a.ID)
	}
	for to, c := range grouped {
		to.Cancel(*c)
	}
}

func (p *attempt) count() {
	c, r := p.query.Counts(), p.entry.stats
	r.Add("parts-first", c.Initial)
	r.Add("parts-retried", c.Retries)
	r.Add("parts-hedged", c.Hedges)
	r.Add("parts-extra", c.Additional)
	r.Add("hedges-won", c.HedgesWon)
	r.Add("answers-late", c.LateReplies)
	r.Add("answers-crossed", c.MismatchedReplies)
	r.Add("budget-refused", c.BudgetExhausted)
}

package daemon

import (
	"context"
	"time"

	"fescuerill/internal/schema/peer"
	"fescuerill/query"
	"fescuerill/ring"
)

// pass is one query under way.
type pass struct {
	entry  *entry
	number int
	search search
	query  query.Query
	asked  map[int]time.Time
}

// follow drives the query until it is finished or its deadline has come.
func (p *pass) follow(ctx context.Context, inbox *ring.Ring[peer.PartReply]) {
	now := time.Now()
	p.send(now, p.query.Begin(now))
	timer := time.NewTimer(max(p.query.NextTick().Sub(now), time.Nanosecond))
	defer timer.Stop()
	var told []peer.PartReply
	for !p.query.Finished() && time.Now().Before(p.search.deadline) && ctx.Err() == nil {
		timer.Reset(max(time.Until(p.query.NextTick()), time.Nanosecond))
		select {
		case <-inbox.Ready():
		case <-timer.C:
		case <-ctx.Done():
		}
		told = inbox.Drain(told[:0])
		now = time.Now()
		for _, t := range told {
			p.take(now, t)
		}
		if !now.Before(p.query.NextTick()) {
			p.send(now, p.query.Tick(now))
		}
		p.cancel(p.query.RequestsToCancel(nil, false))
	}
	p.cancel(p.query.RequestsToCancel(nil, true))
}

func (p *pass) take(now time.Time, t peer.PartReply) {
	began, ok := p.asked[t.ID]
	delete(p.asked, t.ID)
	outcome := parseOutcome(t.Outcome)
	if ok {
		switch outcome {
		case query.Done:
			took := now.Sub(began)
			p.entry.latencies.Add(now, group(t.Target), took)
			p.entry.standings.answered(t.Target, took)
		case query.Unknown:
			p.entry.standings.gaveUp(t.Target, now.Sub(began))
		default:
			p.entry.standings.answered(t.Target, 0)
		}
	}
	in := query.PartReply{ID: t.ID, Target: t.Target, Snapshot: t.Snapshot, Outcome: outcome, Hits: make([]query.Hit, len(t.Hits))}
	if t.Reason != nil {
		in.Reason = *t.Reason
	}
	in.NotDelivered = t.Untouched != nil && *t.Untouched
	for i, h := range t.Hits {
		in.Hits[i] = query.Hit{Document: h.Document, Score: h.Score, Text: h.Text}
	}
	if outcome != query.Done {
		p.entry.tally.Add("retry-cause-"+in.Reason, 1)
	}
	p.send(now, p.query.HandleReply(now, in))
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

// send groups asks by owner and sends them.
func (p *pass) send(now time.Time, asks []query.PartRequest) {
	grouped := map[port]*peer.QueryParts{}
	for _, a := range asks {
		to := p.entry.ports(a.Target)
		m := grouped[to]
		if m == nil {
			m = &peer.QueryParts{
				Query: p.number, Snapshot: p.query.Snapshot(), Terms: p.search.terms, Limit: p.search.limit,
				BudgetUs: int(p.search.deadline.Sub(now).Microseconds()),
			}
			grouped[to] = m
		}
		p.asked[a.ID] = now
		p.entry.standings.asked(a.Target)
		m.Parts = append(m.Parts, peer.Part{ID: a.ID, Target: a.Target, Shard: a.Shard.Number(), Seen: p.entry.catalog.Version(a.Target)})
	}
	for to, m := range grouped {
		to.SendParts(*m)
	}
}

// cancel tells owners what is no longer wanted.
func (p *pass) cancel(losers []query.PartRequest) {
	grouped := map[port]*peer.Cancel{}
	now := time.Now()
	for _, a := range losers {
		began, ok := p.asked[a.ID]
		if !ok {
			continue
		}
		delete(p.asked, a.ID)
		p.entry.standings.gaveUp(a.Target, now.Sub(began))
		to := p.entry.ports(a.Target)
		if grouped[to] == nil {
			grouped[to] = &peer.Cancel{Query: p.number}
		}
		grouped[to].Ids = append(grouped[to].Ids, a.ID)
	}
	for to, c := range grouped {
		to.Cancel(*c)
	}
}

func (p *pass) count() {
	c, t := p.query.Counts(), p.entry.tally
	t.Add("parts-first", c.Initial)
	t.Add("parts-retried", c.Retries)
	t.Add("parts-hedged", c.Hedges)
	t.Add("parts-extra", c.Additional)
	t.Add("hedges-won", c.HedgesWon)
	t.Add("answers-late", c.LateReplies)
	t.Add("answers-crossed", c.MismatchedReplies)
	t.Add("budget-refused", c.BudgetExhausted)
}

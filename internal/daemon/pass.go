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
func (p *attempt) run(ctx context.Context, inbox *ring.Ring[peer.Told]) {
	now := time.Now()
	p.send(now, p.query.Begin(now))
	timer := time.NewTimer(max(p.query.NextTick().Sub(now), time.Nanosecond))
	defer timer.Stop()
	var told []peer.Told
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
			p.handleReply(now, t)
		}
		if !now.Before(p.query.NextTick()) {
			p.send(now, p.query.Tick(now))
		}
		p.cancel(p.query.RequestsToCancel(nil, false))
	}
	p.cancel(p.query.RequestsToCancel(nil, true))
}

func (p *attempt) handleReply(now time.Time, t peer.Told) {
	began, ok := p.sentAt[t.ID]
	delete(p.sentAt, t.ID)
	outcome := parseOutcome(t.Outcome)
	if ok {
		switch outcome {
		case query.Done:
			took := now.Sub(began)
			p.entry.latencies.Add(now, groupOf(t.Target), took)
			p.entry.observed.finished(t.Target, took)
		case query.Unknown:
			p.entry.observed.abandoned(t.Target, now.Sub(began))
		default:
			p.entry.observed.finished(t.Target, 0)
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
		p.entry.stats.Add("retry-cause-"+in.Reason, 1)
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

// send groups part requests by the owner of their target and sends them.
func (p *attempt) send(now time.Time, asks []query.PartRequest) {
	grouped := map[port]*peer.Ask{}
	for _, a := range asks {
		to := p.entry.portFor(a.Target)
		m := grouped[to]
		if m == nil {
			m = &peer.Ask{
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
		to.Ask(*m)
	}
}

// cancel tells the owners which parts are no longer needed.
func (p *attempt) cancel(losers []query.PartRequest) {
	grouped := map[port]*peer.Cancel{}
	now := time.Now()
	for _, a := range losers {
		began, ok := p.sentAt[a.ID]
		if !ok {
			continue
		}
		delete(p.sentAt, a.ID)
		p.entry.observed.abandoned(a.Target, now.Sub(began))
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
	c, t := p.query.Counts(), p.entry.stats
	t.Add("parts-first", c.Initial)
	t.Add("parts-retried", c.Retries)
	t.Add("parts-hedged", c.Hedges)
	t.Add("parts-extra", c.Additional)
	t.Add("hedges-won", c.HedgesWon)
	t.Add("answers-late", c.LateReplies)
	t.Add("answers-crossed", c.MismatchedReplies)
	t.Add("budget-refused", c.BudgetExhausted)
}

package query

import "time"

// Tick returns the retries and hedges that are due at now. The slice is valid
// until the next call.
func (q *Query) Tick(now time.Time) []PartRequest {
	q.asks = q.asks[:0]
	q.next = q.options.Deadline
	if q.options.SingleAttempt {
		return nil
	}
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.status != open:
		case !p.retry.IsZero():
			q.retryDue(now, i)
		case q.options.HedgeDelay > 0 && !p.hedged:
			q.hedgeDue(now, i)
		}
	}
	return q.asks
}

func (q *Query) retryDue(now time.Time, i int) {
	at := q.parts[i].retry
	if now.Before(at) {
		q.wakeBy(at)
		return
	}
	q.again(now, i)
}

func (q *Query) hedgeDue(now time.Time, i int) {
	p := &q.parts[i]
	if !now.Before(p.hedgeAt) && !q.hedge(now, i) {
		p.hedgeAt = now.Add(q.options.HedgeDelay)
	}
	if !p.hedged {
		q.wakeBy(p.hedgeAt)
	}
}

// again asks any holder of shard i after a back-off.
func (q *Query) again(now time.Time, i int) {
	p := &q.parts[i]
	p.retry = time.Time{}
	target := q.chooser.Pick(q.shards[i].Holders(), func(string) bool { return false })
	if target == "" || !q.spend(i, true) || !q.ask(now, i, target, true) {
		q.settle(i, p.reason)
		return
	}
	q.counts.Retries++
}

// hedge asks another warm holder for a part that is late. It reports whether
// there was one and the budget allowed it; if not, it is tried again later.
func (q *Query) hedge(now time.Time, i int) bool {
	p := &q.parts[i]
	target := q.chooser.PickHedge(q.shards[i].Holders(), q.skip(i))
	urgent := !now.Before(p.asked.Add(urgentAfter * q.options.HedgeDelay))
	if target == "" || !q.spend(i, urgent) || !q.ask(now, i, target, true) {
		return false
	}
	p.hedged = true
	p.tries[len(p.tries)-1].hedge = true
	q.counts.Hedges++
	return true
}

package query

import "time"

// Tick returns the retries and hedges that are due at now. The slice is valid until the
// next call.
func (q *Query) Tick(now time.Time) []PartRequest {
	q.requests = q.requests[:0]
	q.nextTick = q.options.Deadline
	if q.options.SingleAttempt {
		return nil
	}
	for i := range q.parts {
		p := &q.parts[i]
		switch {
		case p.status != statusPending:
		case !p.retryAt.IsZero():
			q.retryIfDue(now, i)
		case q.options.HedgeDelay > 0 && !p.hedged:
			q.hedgeIfDue(now, i)
		}
	}
	return q.requests
}

func (q *Query) retryIfDue(now time.Time, i int) {
	at := q.parts[i].retryAt
	if now.Before(at) {
		q.wakeBy(at)
		return
	}
	q.retry(now, i)
}

func (q *Query) hedgeIfDue(now time.Time, i int) {
	p := &q.parts[i]
	if !now.Before(p.hedgeAt) && !q.hedge(now, i) {
		p.hedgeAt = now.Add(q.options.HedgeDelay)
	}
	if !p.hedged {
		q.wakeBy(p.hedgeAt)
	}
}

// retry sends a request for shard i to any of its holders after a back-off.
func (q *Query) retry(now time.Time, i int) {
	p := &q.parts[i]
	p.retryAt = time.Time{}
	target := q.picker.Pick(q.shards[i].Holders(), func(string) bool { return false })
	if target == "" || !q.attemptLeft(i) || !q.withdraw(i, true) || !q.addRequest(now, i, target, true) {
		q.giveUp(i, p.reason)
		return
	}
	q.counts.Retries++
}

// hedge sends the part for shard i to another warm holder. It reports whether there was
// one and the budget allowed it; if not, the hedge is attempted again after another
// hedge delay.
func (q *Query) hedge(now time.Time, i int) bool {
	p := &q.parts[i]
	target := q.picker.PickHedge(q.shards[i].Holders(), q.triedTargets(i))
	urgent := !now.Before(p.sentAt.Add(urgentHedgeFactor * q.options.HedgeDelay))
	if target == "" || !q.attemptLeft(i) || !q.withdraw(i, urgent) || !q.addRequest(now, i, target, true) {
		return false
	}
	p.hedged = true
	p.attempts[len(p.attempts)-1].hedge = true
	q.counts.Hedges++
	return true
}

package query

import "time"

// Limits of the back-off before a target is sent another request for the same shard.
const (
	backoffBase = 4 * time.Millisecond
	backoffMax  = 64 * time.Millisecond
)

// attemptLeft reports whether another request can be sent for shard i. It is checked before
// the budget is charged for one.
func (q *Query) attemptLeft(i int) bool { return len(q.parts[i].attempts) < maxAttempts }

// retryOrGiveUp sends the part to another holder, or schedules a retry after a back-off
// when all holders were tried, or gives up. It does nothing while another attempt is
// pending.
func (q *Query) retryOrGiveUp(now time.Time, i int, r PartReply) {
	p := &q.parts[i]
	if r.Reason == ReasonSnapshotGone {
		q.snapshotGoneCount++
	}
	if q.hasPendingAttempt(i) {
		return
	}
	if q.options.SingleAttempt {
		q.giveUp(i, r.Reason)
		return
	}
	next := ""
	if q.attemptLeft(i) {
		next = q.picker.Pick(q.shards[i].Holders(), q.triedTargets(i))
	}
	if next != "" {
		if !r.NotDelivered && !q.withdraw(i, true) {
			q.giveUp(i, r.Reason)
			return
		}
		q.counts.Retries++
		q.addRequest(now, i, next, true)
		return
	}
	backoff := q.backoff(len(p.attempts))
	if !transient(r.Reason) || !q.attemptLeft(i) || !now.Add(backoff).Before(q.options.Deadline) {
		q.giveUp(i, r.Reason)
		return
	}
	p.reason = r.Reason
	p.retryAt = now.Add(backoff)
	q.wakeBy(p.retryAt)
}

// withdraw takes an additional request for shard i from the budget and counts the
// result.
func (q *Query) withdraw(i int, urgent bool) bool {
	if q.budget.TryWithdraw(q.shards[i].Service(), urgent) {
		q.counts.Additional++
		return true
	}
	q.counts.BudgetExhausted++
	return false
}

// backoff returns a random delay that increases with the number of attempts.
func (q *Query) backoff(attempts int) time.Duration {
	limit := min(backoffMax, backoffBase<<min(attempts, 8))
	return limit/2 + time.Duration(q.random.Int64N(int64(limit)))
}

package query

import (
	"math/rand/v2"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/snapshot"
)

// maxAttempts is the number of asks of one shard that a part number can tell
// apart.
const maxAttempts = 16

// urgentHedgeFactor is the number of times the hedge delay after which a hedge is
// urgent.
const urgentHedgeFactor = 3

// Backoff bounds between two asks of the same target.
const (
	backoffBase = 4 * time.Millisecond
	backoffMax  = 64 * time.Millisecond
)

// Outcome is what became of a part.
type Outcome int

// Outcomes of a part.
const (
	// Unknown means that the part may have run.
	Unknown Outcome = iota
	// Done means that the part ran and was answered.
	Done
	// NotRun means that the part was surely not run.
	NotRun
)

// Hit is one document found.
type Hit struct {
	Shard, Document, Text string
	Score                 float64
}

// Ask is a part to be sent.
type Ask struct {
	// ID numbers the part within its query.
	ID int
	// Target is the path of the target to ask.
	Target string
	// Shard is the shard asked for.
	Shard *snapshot.Shard
	// Extra is set for retries and hedges.
	Extra bool
}

// Told is the answer to a part.
type Told struct {
	ID       int
	Target   string
	Snapshot int
	Outcome  Outcome
	// Reason says why a part that is not Done was not answered.
	Reason string
	// Untouched is set when the part surely never reached a target.
	Untouched bool
	Hits      []Hit
}

// Chooser picks targets. Implementations look at free slots, recent latency
// and data centres.
type Chooser interface {
	// First returns the holder to ask first of those that skip does not
	// exclude, or "" when none may be asked.
	First(holders []string, skip func(string) bool) string
	// Hedge returns a warm holder with a free slot, or "".
	Hedge(holders []string, skip func(string) bool) string
}

// Spender grants extra requests.
type Spender interface {
	// Spend takes one extra request out of the budget of a service and reports
	// whether there was one. One that is not urgent leaves a reserve.
	Spend(service string, urgent bool) bool
}

// Options are the settings of a query.
type Options struct {
	// Deadline is when the answer is due.
	Deadline time.Time
	// HedgeAfter is how long a part may take before it is hedged; 0 is never.
	HedgeAfter time.Duration
	// Limit is the number of hits wanted.
	Limit int
	// Plain switches retries and hedges off. It is the baseline that the
	// measurements compare with.
	Plain bool
}

// Counts is what happened in a query.
type Counts struct {
	First, Retries, Hedges, HedgesWon, Late, Crossed int
	// Extra counts the retries and hedges that went to a target in addition to
	// an ask that did.
	Extra, BudgetRefused int
}

type attempt struct {
	target   string
	inFlight bool
	hedge    bool
}

type status int

const (
	statusPending status = iota
	statusAnswered
	statusMissing
)

// part is one shard of the query.
type part struct {
	status   status
	attempts []attempt
	hedged   bool
	// sentAt is when the part was last asked, hedgeAt when it is late, and retry
	// when it is asked again.
	sentAt, hedgeAt, retryAt time.Time
	reason                   string
}

// Query is one search under one snapshot. Reset it before use.
type Query struct {
	shards            []snapshot.Shard
	snapshotNumber    int
	unmapped          []string
	options           Options
	picker            Chooser
	budget            Spender
	random            *rand.Rand
	parts             []part
	pendingParts      int
	hits              topHits
	counts            Counts
	requests          []Ask
	toCancel          []Ask
	snapshotGoneCount int
	nextTick          time.Time
}

// Reset makes q a new search over the shards of m. Parts are asked of the
// targets that c chooses; b grants retries and hedges.
func (q *Query) Reset(m *snapshot.Map, o Options, c Chooser, b Spender, random *rand.Rand) {
	*q = Query{
		shards: m.Shards(), snapshotNumber: m.Snapshot(), unmapped: m.Uncharted(),
		options: o, picker: c, budget: b, random: random,
		parts: make([]part, len(m.Shards())), pendingParts: len(m.Shards()),
		requests: q.requests[:0], toCancel: q.toCancel[:0], nextTick: o.Deadline,
	}
	q.hits.reset(o.Limit)
}

// Snapshot returns the snapshot from which the answer is drawn.
func (q *Query) Snapshot() int { return q.snapshotNumber }

// Counts returns what happened so far.
func (q *Query) Counts() Counts { return q.counts }

// Gone returns the number of shards whose holders have dropped the snapshot.
func (q *Query) Gone() int { return q.snapshotGoneCount }

// Begin returns the first asks. The slice is valid until the next call.
func (q *Query) Begin(now time.Time) []Ask {
	q.requests = q.requests[:0]
	for i := range q.parts {
		q.addRequest(now, i, q.picker.First(q.shards[i].Holders(), q.triedTargets(i)), false)
		if len(q.parts[i].attempts) > 0 {
			q.counts.First++
		} else {
			q.giveUp(i, ReasonNoHolder)
		}
	}
	return q.requests
}

// triedTargets excludes the targets that were asked for shard i before.
func (q *Query) triedTargets(i int) func(string) bool {
	return func(target string) bool {
		for _, t := range q.parts[i].attempts {
			if t.target == target {
				return true
			}
		}
		return false
	}
}

func (q *Query) addRequest(now time.Time, i int, target string, extra bool) bool {
	p := &q.parts[i]
	if target == "" || len(p.attempts) >= maxAttempts {
		return false
	}
	id := i*maxAttempts + len(p.attempts)
	p.attempts = append(p.attempts, attempt{target: target, inFlight: true})
	p.retryAt = time.Time{}
	p.sentAt = now
	p.hedgeAt = now.Add(q.options.HedgeAfter)
	if q.options.HedgeAfter > 0 && !p.hedged {
		q.wakeBy(p.hedgeAt)
	}
	q.requests = append(q.requests, Ask{ID: id, Target: target, Shard: &q.shards[i], Extra: extra})
	return true
}

// wakeBy makes Next return at or a time before it.
func (q *Query) wakeBy(at time.Time) {
	if at.Before(q.nextTick) {
		q.nextTick = at
	}
}

// giveUp gives a shard up for the reason.
func (q *Query) giveUp(i int, reason string) {
	p := &q.parts[i]
	if p.status != statusPending {
		return
	}
	p.status = statusMissing
	p.reason = reason
	p.retryAt = time.Time{}
	q.pendingParts--
}

// hasPendingAttempt reports whether something may still come for shard i.
func (q *Query) hasPendingAttempt(i int) bool {
	p := &q.parts[i]
	if !p.retryAt.IsZero() {
		return true
	}
	for _, t := range p.attempts {
		if t.inFlight {
			return true
		}
	}
	return false
}

// Told takes the answer to a part and returns what to ask next. Answers that
// come late, twice or from the wrong target are dropped and counted. The slice
// is valid until the next call.
func (q *Query) Told(now time.Time, t Told) []Ask {
	q.requests = q.requests[:0]
	i, n := t.ID/maxAttempts, t.ID%maxAttempts
	if t.ID < 0 || i >= len(q.parts) || n >= len(q.parts[i].attempts) || q.parts[i].attempts[n].target != t.Target {
		q.counts.Crossed++
		return nil
	}
	p := &q.parts[i]
	if !p.attempts[n].inFlight {
		q.counts.Crossed++
		return nil
	}
	p.attempts[n].inFlight = false
	if p.status != statusPending {
		q.counts.Late++
		return nil
	}
	if t.Outcome == Done && t.Snapshot != q.snapshotNumber {
		t.Outcome, t.Reason = Unknown, "wrong-snapshot"
		q.counts.Crossed++
	}
	if t.Outcome == Done {
		q.accept(i, n, t)
		return nil
	}
	q.retryOrGiveUp(now, i, t)
	return q.requests
}

func (q *Query) accept(i, n int, t Told) {
	p := &q.parts[i]
	invariant.Check(t.Snapshot == q.snapshotNumber, "answer-from-one-snapshot", "pinned", q.snapshotNumber, "got", t.Snapshot)
	p.status = statusAnswered
	p.retryAt = time.Time{}
	q.pendingParts--
	if p.attempts[n].hedge {
		q.counts.HedgesWon++
	}
	q.cancelInFlight(i)
	for _, h := range t.Hits {
		h.Shard = q.shards[i].Name()
		q.hits.add(h)
	}
}

// cancelInFlight notes the asks of shard i that are no longer wanted.
func (q *Query) cancelInFlight(i int) {
	for n, t := range q.parts[i].attempts {
		if t.inFlight {
			q.toCancel = append(q.toCancel, Ask{ID: i*maxAttempts + n, Target: t.target, Shard: &q.shards[i]})
		}
	}
}

// Losers appends to dst the asks that are no longer wanted since the last
// call: those out-raced by another and, when all is set, all that are open.
func (q *Query) Losers(dst []Ask, all bool) []Ask {
	dst = append(dst, q.toCancel...)
	q.toCancel = q.toCancel[:0]
	if !all {
		return dst
	}
	for i := range q.parts {
		if q.parts[i].status != statusAnswered {
			q.cancelInFlight(i)
		}
	}
	dst = append(dst, q.toCancel...)
	q.toCancel = q.toCancel[:0]
	return dst
}

// retryOrGiveUp asks another holder, or the same ones again after a back-off.
func (q *Query) retryOrGiveUp(now time.Time, i int, t Told) {
	p := &q.parts[i]
	if t.Reason == ReasonSnapshotGone {
		q.snapshotGoneCount++
	}
	if q.hasPendingAttempt(i) {
		return
	}
	if q.options.Plain {
		q.giveUp(i, t.Reason)
		return
	}
	next := q.picker.First(q.shards[i].Holders(), q.triedTargets(i))
	if next != "" {
		if !t.Untouched && !q.withdraw(i, true) {
			q.giveUp(i, t.Reason)
			return
		}
		q.counts.Retries++
		q.addRequest(now, i, next, true)
		return
	}
	wait := q.backoff(len(p.attempts))
	if !transient(t.Reason) || len(p.attempts) >= maxAttempts || !now.Add(wait).Before(q.options.Deadline) {
		q.giveUp(i, t.Reason)
		return
	}
	p.reason = t.Reason
	p.retryAt = now.Add(wait)
	q.wakeBy(p.retryAt)
}

func (q *Query) withdraw(i int, urgent bool) bool {
	if q.budget.Spend(q.shards[i].Service(), urgent) {
		q.counts.Extra++
		return true
	}
	q.counts.BudgetRefused++
	return false
}

// backoff returns a random wait that grows with the number of tries.
func (q *Query) backoff(tries int) time.Duration {
	top := min(backoffMax, backoffBase<<min(tries, 8))
	return top/2 + time.Duration(q.random.Int64N(int64(top)))
}

// Next returns when Tick is to be called again, at the latest the deadline.
func (q *Query) Next() time.Time { return q.nextTick }

// Finished reports whether nothing more is to come.
func (q *Query) Finished() bool { return q.pendingParts == 0 }

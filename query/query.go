package query

import (
	"math/rand/v2"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/snapshot"
)

// maxTries is the number of asks of one shard that a part number can tell
// apart.
const maxTries = 16

// urgentAfter is the number of times the hedge delay after which a hedge is
// urgent.
const urgentAfter = 3

// Backoff bounds between two asks of the same target.
const (
	backoffBase = 4 * time.Millisecond
	backoffCap  = 64 * time.Millisecond
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

// PartRequest is a part to be sent.
type PartRequest struct {
	// ID numbers the part within its query.
	ID int
	// Target is the path of the target to ask.
	Target string
	// Shard is the shard asked for.
	Shard *snapshot.Shard
	// Additional is set for retries and hedges.
	Additional bool
}

// PartReply is the answer to a part.
type PartReply struct {
	ID       int
	Target   string
	Snapshot int
	Outcome  Outcome
	// Reason says why a part that is not Done was not answered.
	Reason string
	// NotDelivered is set when the part surely never reached a target.
	NotDelivered bool
	Hits         []Hit
}

// Picker picks targets. Implementations look at free slots, recent latency
// and data centres.
type Picker interface {
	// Pick returns the holder to ask first of those that skip does not
	// exclude, or "" when none may be asked.
	Pick(holders []string, skip func(string) bool) string
	// PickHedge returns a warm holder with a free slot, or "".
	PickHedge(holders []string, skip func(string) bool) string
}

// Budget grants extra requests.
type Budget interface {
	// TryWithdraw takes one extra request out of the budget of a service and reports
	// whether there was one. One that is not urgent leaves a reserve.
	TryWithdraw(service string, urgent bool) bool
}

// Options are the settings of a query.
type Options struct {
	// Deadline is when the answer is due.
	Deadline time.Time
	// HedgeDelay is how long a part may take before it is hedged; 0 is never.
	HedgeDelay time.Duration
	// MaxHits is the number of hits wanted.
	MaxHits int
	// SingleAttempt switches retries and hedges off. It is the baseline that the
	// measurements compare with.
	SingleAttempt bool
}

// Counts is what happened in a query.
type Counts struct {
	Initial, Retries, Hedges, HedgesWon, LateReplies, MismatchedReplies int
	// Additional counts the retries and hedges that went to a target in addition to
	// an ask that did.
	Additional, BudgetExhausted int
}

type try struct {
	target string
	open   bool
	hedge  bool
}

type status int

const (
	open status = iota
	done
	missing
)

// part is one shard of the query.
type part struct {
	status status
	tries  []try
	hedged bool
	// asked is when the part was last asked, hedgeAt when it is late, and retry
	// when it is asked again.
	asked, hedgeAt, retry time.Time
	reason                string
}

// Query is one search under one snapshot. Reset it before use.
type Query struct {
	shards    []snapshot.Shard
	number    int
	uncharted []string
	options   Options
	chooser   Picker
	budget    Budget
	random    *rand.Rand
	parts     []part
	open      int
	hits      topHits
	counts    Counts
	asks      []PartRequest
	losers    []PartRequest
	gone      int
	next      time.Time
}

// Reset makes q a new search over the shards of m. Parts are asked of the
// targets that c chooses; b grants retries and hedges.
func (q *Query) Reset(m *snapshot.ShardMap, o Options, c Picker, b Budget, random *rand.Rand) {
	*q = Query{
		shards: m.Shards(), number: m.Snapshot(), uncharted: m.Unmapped(),
		options: o, chooser: c, budget: b, random: random,
		parts: make([]part, len(m.Shards())), open: len(m.Shards()),
		asks: q.asks[:0], losers: q.losers[:0], next: o.Deadline,
	}
	q.hits.reset(o.MaxHits)
}

// Snapshot returns the snapshot from which the answer is drawn.
func (q *Query) Snapshot() int { return q.number }

// Counts returns what happened so far.
func (q *Query) Counts() Counts { return q.counts }

// SnapshotGoneCount returns the number of shards whose holders have dropped the snapshot.
func (q *Query) SnapshotGoneCount() int { return q.gone }

// Begin returns the first asks. The slice is valid until the next call.
func (q *Query) Begin(now time.Time) []PartRequest {
	q.asks = q.asks[:0]
	for i := range q.parts {
		q.ask(now, i, q.chooser.Pick(q.shards[i].Holders(), q.skip(i)), false)
		if len(q.parts[i].tries) > 0 {
			q.counts.Initial++
		} else {
			q.settle(i, ReasonNoHolder)
		}
	}
	return q.asks
}

// skip excludes the targets that were asked for shard i before.
func (q *Query) skip(i int) func(string) bool {
	return func(target string) bool {
		for _, t := range q.parts[i].tries {
			if t.target == target {
				return true
			}
		}
		return false
	}
}

func (q *Query) ask(now time.Time, i int, target string, extra bool) bool {
	p := &q.parts[i]
	if target == "" || len(p.tries) >= maxTries {
		return false
	}
	id := i*maxTries + len(p.tries)
	p.tries = append(p.tries, try{target: target, open: true})
	p.retry = time.Time{}
	p.asked = now
	p.hedgeAt = now.Add(q.options.HedgeDelay)
	if q.options.HedgeDelay > 0 && !p.hedged {
		q.wakeBy(p.hedgeAt)
	}
	q.asks = append(q.asks, PartRequest{ID: id, Target: target, Shard: &q.shards[i], Additional: extra})
	return true
}

// wakeBy makes Next return at or a time before it.
func (q *Query) wakeBy(at time.Time) {
	if at.Before(q.next) {
		q.next = at
	}
}

// settle gives a shard up for the reason.
func (q *Query) settle(i int, reason string) {
	p := &q.parts[i]
	if p.status != open {
		return
	}
	p.status = missing
	p.reason = reason
	p.retry = time.Time{}
	q.open--
}

// waiting reports whether something may still come for shard i.
func (q *Query) waiting(i int) bool {
	p := &q.parts[i]
	if !p.retry.IsZero() {
		return true
	}
	for _, t := range p.tries {
		if t.open {
			return true
		}
	}
	return false
}

// HandleReply takes the answer to a part and returns what to ask next. Answers that
// come late, twice or from the wrong target are dropped and counted. The slice
// is valid until the next call.
func (q *Query) HandleReply(now time.Time, t PartReply) []PartRequest {
	q.asks = q.asks[:0]
	i, n := t.ID/maxTries, t.ID%maxTries
	if t.ID < 0 || i >= len(q.parts) || n >= len(q.parts[i].tries) || q.parts[i].tries[n].target != t.Target {
		q.counts.MismatchedReplies++
		return nil
	}
	p := &q.parts[i]
	if !p.tries[n].open {
		q.counts.MismatchedReplies++
		return nil
	}
	p.tries[n].open = false
	if p.status != open {
		q.counts.LateReplies++
		return nil
	}
	if t.Outcome == Done && t.Snapshot != q.number {
		t.Outcome, t.Reason = Unknown, "wrong-snapshot"
		q.counts.MismatchedReplies++
	}
	if t.Outcome == Done {
		q.take(i, n, t)
		return nil
	}
	q.failed(now, i, t)
	return q.asks
}

func (q *Query) take(i, n int, t PartReply) {
	p := &q.parts[i]
	invariant.Check(t.Snapshot == q.number, "answer-from-one-snapshot", "pinned", q.number, "got", t.Snapshot)
	p.status = done
	p.retry = time.Time{}
	q.open--
	if p.tries[n].hedge {
		q.counts.HedgesWon++
	}
	q.lose(i)
	for _, h := range t.Hits {
		h.Shard = q.shards[i].Name()
		q.hits.add(h)
	}
}

// lose notes the asks of shard i that are no longer wanted.
func (q *Query) lose(i int) {
	for n, t := range q.parts[i].tries {
		if t.open {
			q.losers = append(q.losers, PartRequest{ID: i*maxTries + n, Target: t.target, Shard: &q.shards[i]})
		}
	}
}

// RequestsToCancel appends to dst the asks that are no longer wanted since the last
// call: those out-raced by another and, when all is set, all that are open.
func (q *Query) RequestsToCancel(dst []PartRequest, all bool) []PartRequest {
	dst = append(dst, q.losers...)
	q.losers = q.losers[:0]
	if !all {
		return dst
	}
	for i := range q.parts {
		if q.parts[i].status != done {
			q.lose(i)
		}
	}
	dst = append(dst, q.losers...)
	q.losers = q.losers[:0]
	return dst
}

// failed asks another holder, or the same ones again after a back-off.
func (q *Query) failed(now time.Time, i int, t PartReply) {
	p := &q.parts[i]
	if t.Reason == ReasonSnapshotGone {
		q.gone++
	}
	if q.waiting(i) {
		return
	}
	if q.options.SingleAttempt {
		q.settle(i, t.Reason)
		return
	}
	next := q.chooser.Pick(q.shards[i].Holders(), q.skip(i))
	if next != "" {
		if !t.NotDelivered && !q.spend(i, true) {
			q.settle(i, t.Reason)
			return
		}
		q.counts.Retries++
		q.ask(now, i, next, true)
		return
	}
	wait := q.backoff(len(p.tries))
	if !transient(t.Reason) || len(p.tries) >= maxTries || !now.Add(wait).Before(q.options.Deadline) {
		q.settle(i, t.Reason)
		return
	}
	p.reason = t.Reason
	p.retry = now.Add(wait)
	q.wakeBy(p.retry)
}

func (q *Query) spend(i int, urgent bool) bool {
	if q.budget.TryWithdraw(q.shards[i].Service(), urgent) {
		q.counts.Additional++
		return true
	}
	q.counts.BudgetExhausted++
	return false
}

// backoff returns a random wait that grows with the number of tries.
func (q *Query) backoff(tries int) time.Duration {
	top := min(backoffCap, backoffBase<<min(tries, 8))
	return top/2 + time.Duration(q.random.Int64N(int64(top)))
}

// NextTick returns when Tick is to be called again, at the latest the deadline.
func (q *Query) NextTick() time.Time { return q.next }

// Finished reports whether nothing more is to come.
func (q *Query) Finished() bool { return q.open == 0 }

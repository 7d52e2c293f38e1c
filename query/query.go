package query

import (
	"math/rand/v2"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/snapshot"
)

// maxAttempts is the maximum number of requests for one shard. The ID of a request
// encodes the attempt as one of that many values.
const maxAttempts = 16

// urgentHedgeFactor, times the hedge delay, is the time after which a hedge is urgent.
const urgentHedgeFactor = 3

// Outcome is the outcome of a part.
type Outcome int

// Outcomes of a part.
const (
	// Unknown means that the part may have been run.
	Unknown Outcome = iota
	// Done means that the part was run and a reply received.
	Done
	// NotRun means that the part was certainly not run.
	NotRun
)

// Hit is one document found.
type Hit struct {
	Shard, Document, Text string
	Score                 float64
}

// PartRequest is a request for one part, to be sent to a target.
type PartRequest struct {
	// ID identifies the request within its query.
	ID int
	// Target is the path of the target to send to.
	Target string
	// Shard is the requested shard.
	Shard *snapshot.Shard
	// Additional is set for retries and hedges.
	Additional bool
}

// PartReply is the reply to a PartRequest, or the reason why there is none.
type PartReply struct {
	ID       int
	Target   string
	Snapshot int
	Outcome  Outcome
	// Reason is why a part that is not Done was not answered.
	Reason string
	// NotDelivered is set when the request certainly never reached a target.
	NotDelivered bool
	Hits         []Hit
}

// Picker picks targets by their free slots, recent latency and data centre.
type Picker interface {
	// Pick returns the holder to send to among those that skip does not exclude, or ""
	// when there is none.
	Pick(holders []string, skip func(string) bool) string
	// PickHedge returns a warm holder with a free slot, or "".
	PickHedge(holders []string, skip func(string) bool) string
}

// Budget grants additional requests.
type Budget interface {
	// TryWithdraw takes one additional request from the budget of a service and reports
	// whether the budget allowed it. A request that is not urgent leaves a reserve.
	TryWithdraw(service string, urgent bool) bool
}

// Options are the options of a query.
type Options struct {
	// Deadline is when the answer is due.
	Deadline time.Time
	// HedgeDelay is the time after which a part without a reply is hedged. Zero
	// disables hedging.
	HedgeDelay time.Duration
	// MaxHits is the maximum number of hits in the answer.
	MaxHits int
	// SingleAttempt disables retries and hedges. It is the baseline with which
	// measurements compare.
	SingleAttempt bool
}

// Counts are the counters of a query.
type Counts struct {
	// LateReplies counts replies to shards that were already answered or given up,
	// MismatchedReplies those that match no request in flight or come from another
	// snapshot.
	Initial, Retries, Hedges, HedgesWon, LateReplies, MismatchedReplies int
	// Additional counts the retries and hedges taken from the budget, BudgetExhausted
	// those that it refused. A retry is free if it goes to another holder after a
	// request that never reached a target.
	Additional, BudgetExhausted int
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

// part is the state of one shard of the query.
type part struct {
	status   status
	attempts []attempt
	hedged   bool
	// sentAt is when the last request was sent, hedgeAt when a hedge is due, and
	// retryAt when a retry is due.
	sentAt, hedgeAt, retryAt time.Time
	reason                   string
}

// Query is one search in one snapshot. Call Reset before use.
type Query struct {
	shards            []snapshot.Shard
	snapshotNumber    int
	unmapped          []string
	options           Options
	picker            Picker
	budget            Budget
	random            *rand.Rand
	parts             []part
	pendingParts      int
	hits              topHits
	counts            Counts
	requests          []PartRequest
	toCancel          []PartRequest
	snapshotGoneCount int
	nextTick          time.Time
}

// Reset starts a new search over the shards of m. The picker chooses the targets; the
// budget grants retries and hedges.
func (q *Query) Reset(m *snapshot.ShardMap, o Options, picker Picker, budget Budget, random *rand.Rand) {
	*q = Query{
		shards: m.Shards(), snapshotNumber: m.Snapshot(), unmapped: m.Unmapped(),
		options: o, picker: picker, budget: budget, random: random,
		parts: make([]part, len(m.Shards())), pendingParts: len(m.Shards()),
		requests: q.requests[:0], toCancel: q.toCancel[:0], nextTick: o.Deadline,
	}
	q.hits.reset(o.MaxHits)
}

// Snapshot returns the number of the snapshot that is searched.
func (q *Query) Snapshot() int { return q.snapshotNumber }

// Counts returns the counters.
func (q *Query) Counts() Counts { return q.counts }

// SnapshotGoneCount returns the number of replies by which a holder reported that it
// has dropped the snapshot.
func (q *Query) SnapshotGoneCount() int { return q.snapshotGoneCount }

// Begin returns the initial requests. The slice is valid until the next call.
func (q *Query) Begin(now time.Time) []PartRequest {
	q.requests = q.requests[:0]
	for i := range q.parts {
		q.addRequest(now, i, q.picker.Pick(q.shards[i].Holders(), q.triedTargets(i)), false)
		if len(q.parts[i].attempts) > 0 {
			q.counts.Initial++
		} else {
			q.giveUp(i, ReasonNoHolder)
		}
	}
	return q.requests
}

// triedTargets returns a function that reports whether a target was already sent a
// request for shard i.
func (q *Query) triedTargets(i int) func(string) bool {
	return func(target string) bool {
		for _, a := range q.parts[i].attempts {
			if a.target == target {
				return true
			}
		}
		return false
	}
}

// addRequest appends a request for shard i, unless target is empty or the shard has
// used all its attempts, and reports whether it did.
func (q *Query) addRequest(now time.Time, i int, target string, additional bool) bool {
	p := &q.parts[i]
	if target == "" || !q.attemptLeft(i) {
		return false
	}
	id := i*maxAttempts + len(p.attempts)
	p.attempts = append(p.attempts, attempt{target: target, inFlight: true})
	p.retryAt = time.Time{}
	p.sentAt = now
	p.hedgeAt = now.Add(q.options.HedgeDelay)
	if q.options.HedgeDelay > 0 && !p.hedged {
		q.wakeBy(p.hedgeAt)
	}
	q.requests = append(q.requests, PartRequest{ID: id, Target: target, Shard: &q.shards[i], Additional: additional})
	return true
}

// wakeBy makes NextTick return at or an earlier time.
func (q *Query) wakeBy(at time.Time) {
	if at.Before(q.nextTick) {
		q.nextTick = at
	}
}

// giveUp marks a shard as missing for the reason.
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

// hasPendingAttempt reports whether shard i has a request in flight or a scheduled
// retry.
func (q *Query) hasPendingAttempt(i int) bool {
	p := &q.parts[i]
	if !p.retryAt.IsZero() {
		return true
	}
	for _, a := range p.attempts {
		if a.inFlight {
			return true
		}
	}
	return false
}

// HandleReply records the reply to a part and returns the requests to send next. Late,
// duplicate and mismatched replies are dropped and counted. The slice is valid until
// the next call.
func (q *Query) HandleReply(now time.Time, r PartReply) []PartRequest {
	q.requests = q.requests[:0]
	i, n := r.ID/maxAttempts, r.ID%maxAttempts
	if r.ID < 0 || i >= len(q.parts) || n >= len(q.parts[i].attempts) || q.parts[i].attempts[n].target != r.Target {
		q.counts.MismatchedReplies++
		return nil
	}
	p := &q.parts[i]
	if !p.attempts[n].inFlight {
		q.counts.MismatchedReplies++
		return nil
	}
	p.attempts[n].inFlight = false
	if p.status != statusPending {
		q.counts.LateReplies++
		return nil
	}
	if r.Outcome == Done && r.Snapshot != q.snapshotNumber {
		r.Outcome, r.Reason = Unknown, "wrong-snapshot"
		q.counts.MismatchedReplies++
	}
	if r.Outcome == Done {
		q.accept(i, n, r)
		return nil
	}
	q.retryOrGiveUp(now, i, r)
	return q.requests
}

// accept merges the hits of the first successful reply for shard i.
func (q *Query) accept(i, n int, r PartReply) {
	p := &q.parts[i]
	invariant.Check(r.Snapshot == q.snapshotNumber, "answer-from-one-snapshot", "pinned", q.snapshotNumber, "got", r.Snapshot)
	p.status = statusAnswered
	p.retryAt = time.Time{}
	q.pendingParts--
	if p.attempts[n].hedge {
		q.counts.HedgesWon++
	}
	q.cancelInFlight(i)
	for _, h := range r.Hits {
		h.Shard = q.shards[i].Name()
		q.hits.add(h)
	}
}

// cancelInFlight adds the requests in flight for shard i to those to cancel.
func (q *Query) cancelInFlight(i int) {
	for n, a := range q.parts[i].attempts {
		if a.inFlight {
			q.toCancel = append(q.toCancel, PartRequest{ID: i*maxAttempts + n, Target: a.target, Shard: &q.shards[i]})
		}
	}
}

// RequestsToCancel appends to dst the requests that have become unnecessary since the
// last call: those for which another reply arrived first and, if all is set, all that
// are in flight.
func (q *Query) RequestsToCancel(dst []PartRequest, all bool) []PartRequest {
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

// NextTick returns when Tick is due, at the latest at the deadline.
func (q *Query) NextTick() time.Time { return q.nextTick }

// Finished reports whether every shard is either answered or given up.
func (q *Query) Finished() bool { return q.pendingParts == 0 }

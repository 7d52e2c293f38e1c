package search

import "time"

// Outcome is the outcome of an attempt.
type Outcome int

// Outcomes of attempts.
const (
	// Good means that the target answered successfully and completely.
	Good Outcome = iota
	// NotSent means that the request did not reach the target.
	NotSent
	// NotRun means that the target refused the request without running it.
	NotRun
	// Failed means that the request ran and the answer reports a failure.
	Failed
	// Unknown means that there is no answer; the request may have run.
	Unknown
)

// MayHaveRun reports whether the request has run or may have run.
func (o Outcome) MayHaveRun() bool { return o == Good || o == Failed || o == Unknown }

// Plan holds the parameters of a search.
type Plan struct {
	// Parts is the number of parts: one per shard.
	Parts int
	// MinParts is the minimum number of answered parts for an answer.
	MinParts int
	// MaxTargets is the maximum number of targets on which a part can run.
	MaxTargets int
	// Idempotent reports that a part can safely run more than once.
	Idempotent bool
	// HedgeDelay is the time without an answer after which a part is also sent to
	// another replica; 0 disables hedging.
	HedgeDelay time.Duration
	// SoftDeadline is the time from which MinParts answered parts suffice for a partial
	// answer; zero stands for Deadline.
	SoftDeadline time.Time
	// Deadline is the time at which the search ends.
	Deadline time.Time
}

// CandidateSet selects the replicas that can be chosen for a part.
type CandidateSet int

// Sets of candidates.
const (
	// AnyCandidate is all replicas; untried ones are preferred.
	AnyCandidate CandidateSet = iota
	// UntriedCandidates is the replicas that the part was not sent to.
	UntriedCandidates
	// TriedCandidates is the replicas that the part was sent to.
	TriedCandidates
)

// Choice is the replica chosen for an attempt.
type Choice struct {
	Target string
}

// Chooser chooses replicas for parts.
type Chooser interface {
	// Choose chooses a replica from the set; tried are the targets that count as tried.
	// It returns false if the part cannot be sent to any of them now.
	Choose(part int, tried []string, from CandidateSet) (Choice, bool)
	// SpendRetryBudget withdraws one additional attempt from the retry budget of the
	// part and reports whether the budget allowed it.
	SpendRetryBudget(part int) bool
}

// Attempt is one sending of a part to a target.
type Attempt struct {
	Part int
	// Number counts the attempts of the part, from 1.
	Number int
	Target string
	Reason Reason
}

// Reason is the reason for an attempt.
type Reason int

// Reasons for attempts.
const (
	First Reason = iota
	Hedge
	Retry
)

var reasonNames = [...]string{"first", "hedge", "retry"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

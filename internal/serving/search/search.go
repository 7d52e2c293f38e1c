package search

import (
	"slices"
	"time"

	"fescuerill/internal/invariant"
)

// Parameters of retries and hedges.
const (
	// minRetryDelay is the delay before a part is sent again after no replica was
	// available or a retry failed.
	minRetryDelay = 15 * time.Millisecond
	// maxRetryDelay bounds that delay, which doubles with each failed retry. It is also the
	// delay after a retry that the retry budget did not allow.
	maxRetryDelay = 200 * time.Millisecond
	// Parts are hedged only while at most hedgeMaxWaiting of them, or
	// hedgeMaxWaitingShare of them if that is more, are unanswered.
	hedgeMaxWaiting      = 4
	hedgeMaxWaitingShare = 0.35
	// hedgeRecheckDelay is the delay before that is checked again.
	hedgeRecheckDelay = 5 * time.Millisecond
	// maxNotRunAttempts is the number of attempts, beyond MaxTargets, after which a part
	// is abandoned. It allows for attempts that fail without having run.
	maxNotRunAttempts = 3
)

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
	// ExpectedLate reports that its answer is expected after the soft deadline.
	ExpectedLate bool
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

// part is the state of one part.
type part struct {
	state state
	tried []string
	// ranOn holds the targets on which the part has run or may have run.
	ranOn          []string
	inFlight       int
	failedAttempts int
	attempts       int
	hedgeAt        time.Time
	retryAt        time.Time
	retryDelay     time.Duration
	hedged         bool
	// reachedTarget reports that an attempt may have reached its target.
	reachedTarget bool
	// leftOut reports that the part was not sent because its answer was expected late.
	leftOut     bool
	lastOutcome Outcome
}

type state int

const (
	waiting state = iota // an attempt is in flight, or a retry is scheduled
	answered
	abandoned
	noTarget // no replica could be chosen; tried again after minRetryDelay
)

// Search is the state of one request. Reset it before use.
type Search struct {
	plan       Plan
	parts      []part
	answered   int
	mayHaveRun bool
}

// Reset prepares the search for a request.
func (s *Search) Reset(p Plan) {
	*s = Search{plan: p, parts: make([]part, p.Parts)}
}

// Begin appends the first attempt of each part to dst. It appends none if fewer than
// MinParts parts have a replica. Parts of idempotent requests whose answers are expected
// late are left out, so that busy replicas can answer other requests: at most half of
// the number of parts beyond MinParts, rounded up. The other half is a margin for parts
// that fail.
func (s *Search) Begin(now time.Time, c Chooser, dst []Attempt) []Attempt {
	choices := make([]Choice, len(s.parts))
	sendable := 0
	for i := range s.parts {
		choice, ok := c.Choose(i, nil, AnyCandidate)
		if !ok {
			s.parts[i].state = noTarget
			s.parts[i].retryAt = now.Add(minRetryDelay)
			continue
		}
		choices[i] = choice
		sendable++
	}
	if sendable < s.plan.MinParts {
		for i := range s.parts {
			s.parts[i].state = noTarget
		}
		return dst
	}
	spare := (len(s.parts) - s.plan.MinParts + 1) / 2
	for i, choice := range choices {
		p := &s.parts[i]
		switch {
		case p.state == noTarget:
		case choice.ExpectedLate && spare > 0 && s.plan.Idempotent:
			spare--
			p.state = abandoned
			p.leftOut = true
		default:
			dst = append(dst, s.startAttempt(now, i, choice.Target, First))
		}
	}
	return dst
}

// startAttempt records a new attempt of a part.
func (s *Search) startAttempt(now time.Time, i int, target string, reason Reason) Attempt {
	p := &s.parts[i]
	invariant.Check(s.plan.Idempotent || p.inFlight == 0 && len(p.ranOn) == 0, "at-most-once", "part", i)
	p.tried = append(p.tried, target)
	p.inFlight++
	p.attempts++
	p.retryAt = time.Time{}
	if s.plan.HedgeDelay > 0 {
		p.hedgeAt = now.Add(s.plan.HedgeDelay)
	}
	return Attempt{Part: i, Number: p.attempts, Target: target, Reason: reason}
}

// HandleOutcome records the outcome of an attempt and appends the next attempts to dst.
// It reports whether the reply has to be kept for the answer.
func (s *Search) HandleOutcome(now time.Time, c Chooser, attempt Attempt, o Outcome, dst []Attempt) ([]Attempt, bool) {
	p := &s.parts[attempt.Part]
	p.inFlight--
	p.reachedTarget = p.reachedTarget || o != NotSent
	if p.state == answered {
		return dst, false
	}
	p.lastOutcome = o
	if o.MayHaveRun() {
		s.mayHaveRun = true
		if !slices.Contains(p.ranOn, attempt.Target) {
			p.ranOn = append(p.ranOn, attempt.Target)
		}
	}
	if o == Good {
		p.state = answered
		s.answered++
		return dst, true
	}
	return s.retry(now, c, attempt.Part, dst), o == Failed
}

// retry retries a part after an attempt without a good answer: immediately the first
// time, and then after an increasing delay.
func (s *Search) retry(now time.Time, c Chooser, i int, dst []Attempt) []Attempt {
	p := &s.parts[i]
	p.failedAttempts++
	switch {
	case p.inFlight > 0:
		// Another attempt is in flight.
		return dst
	case !s.retryAllowed(p):
		p.state = abandoned
		return dst
	case p.failedAttempts > 1:
		p.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*p.retryDelay))
		p.retryAt = now.Add(p.retryDelay)
		return dst
	}
	return s.startAnotherAttempt(now, c, i, Retry, dst)
}

// retryAllowed reports whether another attempt of the part is allowed.
func (s *Search) retryAllowed(p *part) bool {
	if !s.plan.Idempotent && len(p.ranOn) > 0 {
		return false
	}
	return p.attempts < s.plan.MaxTargets+maxNotRunAttempts
}

// choose chooses a replica for another attempt. Once the part has run on MaxTargets
// targets, only those are candidates.
func (s *Search) choose(c Chooser, i int, reason Reason) (Choice, bool) {
	p := &s.parts[i]
	switch {
	case reason == Hedge:
		return c.Choose(i, p.tried, UntriedCandidates)
	case len(p.ranOn) >= s.plan.MaxTargets:
		return c.Choose(i, p.ranOn, TriedCandidates)
	}
	return c.Choose(i, p.tried, AnyCandidate)
}

// startAnotherAttempt appends a retry or a hedge of a part to dst if a replica and the
// retry budget allow it. A retry of a part that has not reached a target needs no budget.
// Before the soft deadline, a hedge is not sent if its answer is expected after it.
func (s *Search) startAnotherAttempt(now time.Time, c Chooser, i int, reason Reason, dst []Attempt) []Attempt {
	p := &s.parts[i]
	choice, ok := s.choose(c, i, reason)
	if !ok || reason == Hedge && choice.ExpectedLate && now.Before(s.plan.SoftDeadline) {
		if p.inFlight == 0 {
			p.state = noTarget
			p.retryAt = now.Add(minRetryDelay)
		}
		return dst
	}
	if (p.reachedTarget || p.inFlight > 0) && !c.SpendRetryBudget(i) {
		if p.inFlight == 0 {
			p.retryAt = now.Add(maxRetryDelay)
		}
		return dst
	}
	p.state = waiting
	return append(dst, s.startAttempt(now, i, choice.Target, reason))
}

// Tick appends the retries and hedges that are due to dst. While many parts are
// unanswered, the targets are overloaded rather than a few of them slow, and hedges
// would only add load.
func (s *Search) Tick(now time.Time, c Chooser, dst []Attempt) []Attempt {
	overloaded := s.countWaiting() > max(hedgeMaxWaiting, int(hedgeMaxWaitingShare*float64(len(s.parts))))
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.state == answered || p.state == abandoned:
		case !p.retryAt.IsZero() && !now.Before(p.retryAt):
			p.retryAt = time.Time{}
			if p.inFlight == 0 {
				dst = s.startAnotherAttempt(now, c, i, s.attemptReason(p), dst)
			}
		case s.hedgeAllowed(p) && !now.Before(p.hedgeAt):
			if overloaded {
				p.hedgeAt = now.Add(hedgeRecheckDelay)
				continue
			}
			p.hedged = true
			dst = s.startAnotherAttempt(now, c, i, Hedge, dst)
		}
	}
	return dst
}

// countWaiting returns the number of unanswered parts that have an attempt in flight or a
// retry scheduled. Parts without a replica to choose do not count.
func (s *Search) countWaiting() int {
	n := 0
	for i := range s.parts {
		if s.parts[i].state == waiting {
			n++
		}
	}
	return n
}

func (s *Search) attemptReason(p *part) Reason {
	if p.attempts == 0 {
		return First
	}
	return Retry
}

func (s *Search) hedgeAllowed(p *part) bool {
	return s.plan.HedgeDelay > 0 && s.plan.Idempotent && !p.hedged && p.inFlight == 1 && len(p.ranOn)+p.inFlight < s.plan.MaxTargets
}

// NextTick returns the time at which Tick has to be called again.
func (s *Search) NextTick(now time.Time) time.Time {
	next := s.plan.Deadline
	if t := s.plan.SoftDeadline; !t.IsZero() && now.Before(t) {
		next = earlier(next, t)
	}
	for i := range s.parts {
		p := &s.parts[i]
		if p.state == answered || p.state == abandoned {
			continue
		}
		if !p.retryAt.IsZero() {
			next = earlier(next, p.retryAt)
		}
		if s.hedgeAllowed(p) {
			next = earlier(next, p.hedgeAt)
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Covered returns the number of answered parts.
func (s *Search) Covered() int { return s.answered }

// EachMissing calls f for each unanswered part: whether it was left out because its
// answer was expected late, and the targets that it was sent to.
func (s *Search) EachMissing(f func(part int, leftOut bool, tried []string)) {
	for i := range s.parts {
		if p := &s.parts[i]; p.state != answered {
			f(i, p.leftOut, p.tried)
		}
	}
}

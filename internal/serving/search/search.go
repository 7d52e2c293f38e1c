package search

import (
	"slices"
	"time"

	"fescuerill/internal/invariant"
)

// Constants of a search.
const (
	// minRetryDelay is the pause before a part is sent again that found no room.
	minRetryDelay = 15 * time.Millisecond
	// maxRetryDelay bounds that pause, which doubles.
	maxRetryDelay = 200 * time.Millisecond
	// hedgeMaxWaiting and fewShare are how many parts, and which share of them, may be
	// out when some are hedged.
	hedgeMaxWaiting      = 4
	hedgeMaxWaitingShare = 0.35
	// hedgeRecheckDelay is the pause before it is looked again.
	hedgeRecheckDelay = 5 * time.Millisecond
	// maxNotRunAttempts is how many sends of a part may fail without having run before
	// the part is given up.
	maxNotRunAttempts = 3
)

// Outcome is how a send of a part ended.
type Outcome int

// Outcomes of sends.
const (
	// Good is a whole answer of success.
	Good Outcome = iota
	// NotSent did not reach the target.
	NotSent
	// NotRun was refused by the target, which did not run it.
	NotRun
	// Failed ran, and the answer is a failure.
	Failed
	// Unknown may have run; there is no answer.
	Unknown
)

// MayHaveRun reports whether the request has run or may have run.
func (o Outcome) MayHaveRun() bool { return o == Good || o == Failed || o == Unknown }

// Plan says how a request is to be served.
type Plan struct {
	// Parts is the number of shards.
	Parts int
	// MinParts is the number of parts that an answer needs.
	MinParts int
	// MaxTargets is the number of targets on which a part may run.
	MaxTargets int
	// Idempotent says that a part may run more than once.
	Idempotent bool
	// HedgeDelay is how long to wait for a part before it is sent to another copy as
	// well; 0 means never.
	HedgeDelay time.Duration
	// SoftDeadline is when an answer is given as soon as it has the least parts; zero
	// means at End.
	SoftDeadline time.Time
	// Deadline is when there is no more time.
	Deadline time.Time
}

// CandidateSet says which copies may be picked for a part.
type CandidateSet int

// Pools of copies.
const (
	// AnyCandidate is all copies; those that the part was sent to come last.
	AnyCandidate CandidateSet = iota
	// UntriedCandidates is the copies that the part was not sent to.
	UntriedCandidates
	// TriedCandidates is the copies that the part was sent to.
	TriedCandidates
)

// Choice is a copy picked for a part.
type Choice struct {
	Target string
	// ExpectedLate says that its answer is not to be expected before Settle.
	ExpectedLate bool
}

// Chooser picks copies for parts.
type Chooser interface {
	// Choose picks a copy. It reports false if none can be asked now.
	Choose(part int, tried []string, from CandidateSet) (Choice, bool)
	// SpendRetryBudget takes an extra send of the part out of the budget and reports
	// whether there was one.
	SpendRetryBudget(part int) bool
}

// Attempt is one send of a part to a target.
type Attempt struct {
	Part   int
	Number int
	Target string
	// Reason says why the part is sent: first, hedge or retry.
	Reason Reason
}

// Reason is why a part is sent.
type Reason int

// Reasons of sends.
const (
	First Reason = iota
	Hedge
	Retry
)

var reasonNames = [...]string{"first", "hedge", "retry"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

type part struct {
	state state
	tried []string
	// ranOn holds the targets on which the part has run or may run.
	ranOn          []string
	inFlight       int
	failedAttempts int
	attempts       int
	hedgeAt        time.Time
	retryAt        time.Time
	retryDelay     time.Duration
	hedged         bool
	reachedTarget  bool
	// leftOut says that the part was left out since its answer would be late.
	leftOut     bool
	lastOutcome Outcome
}

type state int

const (
	waiting state = iota
	answered
	abandoned // given up
	noTarget  // no copy could be asked
)

// Search is the state of one request. Reset it before use.
type Search struct {
	plan       Plan
	parts      []part
	answered   int
	mayHaveRun bool
}

// Reset begins a search by the plan.
func (s *Search) Reset(p Plan) {
	*s = Search{plan: p, parts: make([]part, p.Parts)}
}

// Begin appends to dst the first send of each part. Nothing is sent if too few
// parts can be asked. Parts whose answers are not to be expected in time are left
// out, so that they do not keep busy copies from answering others, as far as the
// answer stays well above its floor.
func (s *Search) Begin(now time.Time, c Chooser, dst []Attempt) []Attempt {
	choices := make([]Choice, len(s.parts))
	hopeful := 0
	for i := range s.parts {
		choice, ok := c.Choose(i, nil, AnyCandidate)
		if !ok {
			s.parts[i].state = noTarget
			s.parts[i].retryAt = now.Add(minRetryDelay)
			continue
		}
		choices[i] = choice
		hopeful++
	}
	if hopeful < s.plan.MinParts {
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

func (s *Search) startAttempt(now time.Time, i int, id string, why Reason) Attempt {
	p := &s.parts[i]
	invariant.Check(s.plan.Idempotent || p.inFlight == 0 && len(p.ranOn) == 0, "at-most-once", "part", i)
	p.tried = append(p.tried, id)
	p.inFlight++
	p.attempts++
	p.retryAt = time.Time{}
	if s.plan.HedgeDelay > 0 {
		p.hedgeAt = now.Add(s.plan.HedgeDelay)
	}
	return Attempt{Part: i, Number: p.attempts, Target: id, Reason: why}
}

// HandleOutcome takes the outcome of a send and appends to dst what to send next. It
// reports whether the answer is to be used.
func (s *Search) HandleOutcome(now time.Time, c Chooser, sent Attempt, o Outcome, dst []Attempt) ([]Attempt, bool) {
	p := &s.parts[sent.Part]
	p.inFlight--
	p.reachedTarget = p.reachedTarget || o != NotSent
	if p.state == answered {
		return dst, false
	}
	p.lastOutcome = o
	if o.MayHaveRun() {
		s.mayHaveRun = true
		if !slices.Contains(p.ranOn, sent.Target) {
			p.ranOn = append(p.ranOn, sent.Target)
		}
	}
	if o == Good {
		p.state = answered
		s.answered++
		return dst, true
	}
	return s.retry(now, c, sent.Part, dst), o == Failed
}

// retry sends a part again after a send without a good answer: at once the first
// time, later when that did not help.
func (s *Search) retry(now time.Time, c Chooser, i int, dst []Attempt) []Attempt {
	p := &s.parts[i]
	p.failedAttempts++
	switch {
	case p.inFlight > 0:
		// Another copy is at work.
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

// retryAllowed reports whether the part may be sent once more.
func (s *Search) retryAllowed(p *part) bool {
	if !s.plan.Idempotent && len(p.ranOn) > 0 {
		return false
	}
	return p.attempts < s.plan.MaxTargets+maxNotRunAttempts
}

// choose picks a copy for another send. Once the part has run on as many targets
// as it may, only those can be picked.
func (s *Search) choose(c Chooser, i int, why Reason) (Choice, bool) {
	p := &s.parts[i]
	switch {
	case why == Hedge:
		return c.Choose(i, p.tried, UntriedCandidates)
	case len(p.ranOn) >= s.plan.MaxTargets:
		return c.Choose(i, p.ranOn, TriedCandidates)
	}
	return c.Choose(i, p.tried, AnyCandidate)
}

func (s *Search) startAnotherAttempt(now time.Time, c Chooser, i int, why Reason, dst []Attempt) []Attempt {
	p := &s.parts[i]
	choice, ok := s.choose(c, i, why)
	if !ok || why == Hedge && choice.ExpectedLate && now.Before(s.plan.SoftDeadline) {
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
	return append(dst, s.startAttempt(now, i, choice.Target, why))
}

// Tick appends to dst what to send now that time has passed. While most parts
// are out, the targets are busy rather than a few of them late, and second sends
// would only make them busier.
func (s *Search) Tick(now time.Time, c Chooser, dst []Attempt) []Attempt {
	crowded := s.countWaiting() > max(hedgeMaxWaiting, int(hedgeMaxWaitingShare*float64(len(s.parts))))
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
			if crowded {
				p.hedgeAt = now.Add(hedgeRecheckDelay)
				continue
			}
			p.hedged = true
			dst = s.startAnotherAttempt(now, c, i, Hedge, dst)
		}
	}
	return dst
}

// countWaiting returns the number of parts that are out.
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

// NextTick returns when Tick is to be called again.
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

// Covered returns the number of parts that are in.
func (s *Search) Covered() int { return s.answered }

// EachMissing calls f for each part that is not in.
func (s *Search) EachMissing(f func(part int, late bool, tried []string)) {
	for i := range s.parts {
		if p := &s.parts[i]; p.state != answered {
			f(i, p.leftOut, p.tried)
		}
	}
}

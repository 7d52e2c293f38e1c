package search

import (
	"time"

	"fescuerill/internal/invariant"
)

// Parameters of retries.
const (
	// minRetryDelay is the delay before a part is sent again after no replica was
	// available or a retry failed.
	minRetryDelay = 15 * time.Millisecond
	// maxRetryDelay bounds that delay, which doubles with each failed retry. It is also the
	// delay after a retry that the retry budget did not allow.
	maxRetryDelay = 200 * time.Millisecond
	// maxNotRunAttempts is the number of attempts, beyond MaxTargets, after which a part
	// is abandoned. It allows for attempts that fail without having run.
	maxNotRunAttempts = 3
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
// MinParts parts have a replica.
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
	for i, choice := range choices {
		if s.parts[i].state != noTarget {
			dst = append(dst, s.startAttempt(now, i, choice.Target, First))
		}
	}
	return dst
}

// startAttempt records a new attempt of a part.
func (s *Search) startAttempt(now time.Time, i int, target string, reason Reason) Attempt {
	p := &s.parts[i]
	invariant.Check(s.plan.Idempotent || p.inFlight() == 0 && len(p.ranOn) == 0, "at-most-once", "part", i)
	p.started(target)
	if s.plan.HedgeDelay > 0 {
		p.hedgeAt = now.Add(s.plan.HedgeDelay)
	}
	return Attempt{Part: i, Number: p.attempts, Target: target, Reason: reason}
}

// HandleOutcome records the outcome of an attempt and appends the next attempts to dst.
// It reports whether the reply has to be kept for the answer.
func (s *Search) HandleOutcome(now time.Time, c Chooser, attempt Attempt, o Outcome, dst []Attempt) ([]Attempt, bool) {
	p := &s.parts[attempt.Part]
	p.ended(attempt.Target, o)
	if p.state == answered {
		return dst, false
	}
	p.lastOutcome = o
	if o.MayHaveRun() {
		s.mayHaveRun = true
		p.ran(attempt.Target)
	}
	if o == Good {
		p.state = answered
		s.answered++
		return dst, true
	}
	return s.retry(now, c, attempt, dst), o == Failed
}

// retry retries a part after an attempt without a good answer: immediately the first
// time, and then after an increasing delay. While an older attempt is in flight, the part
// is hedged again instead.
func (s *Search) retry(now time.Time, c Chooser, attempt Attempt, dst []Attempt) []Attempt {
	p := &s.parts[attempt.Part]
	p.failedAttempts++
	switch {
	case p.inFlight() > 0:
		if attempt.Number == p.attempts {
			p.hedgeAt = now.Add(s.hedgeRecheckDelay())
		}
		return dst
	case !s.retryAllowed(p):
		p.state = abandoned
		return dst
	case p.failedAttempts > 1:
		p.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*p.retryDelay))
		p.retryAt = now.Add(p.retryDelay)
		return dst
	}
	return s.startAnotherAttempt(now, c, attempt.Part, Retry, dst)
}

// retryAllowed reports whether another attempt of the part is allowed.
func (s *Search) retryAllowed(p *part) bool {
	if !s.plan.Idempotent && len(p.ranOn) > 0 {
		return false
	}
	return p.attempts < s.plan.MaxTargets+maxNotRunAttempts
}

// choose chooses a replica for a part that has no attempt in flight. Once the part has
// run on MaxTargets targets, only those are candidates.
func (s *Search) choose(c Chooser, i int) (Choice, bool) {
	p := &s.parts[i]
	if len(p.ranOn) >= s.plan.MaxTargets {
		return c.Choose(i, p.ranOn, TriedCandidates)
	}
	return c.Choose(i, p.tried, AnyCandidate)
}

// startAnotherAttempt appends an attempt of a part that has none in flight to dst if a
// replica and the retry budget allow it. A retry of a part that has not reached a target
// needs no budget.
func (s *Search) startAnotherAttempt(now time.Time, c Chooser, i int, reason Reason, dst []Attempt) []Attempt {
	p := &s.parts[i]
	choice, ok := s.choose(c, i)
	if !ok {
		p.state = noTarget
		p.retryAt = now.Add(minRetryDelay)
		return dst
	}
	if p.reachedTarget && !c.SpendRetryBudget(i) {
		p.retryAt = now.Add(maxRetryDelay)
		return dst
	}
	p.state = waiting
	return append(dst, s.startAttempt(now, i, choice.Target, reason))
}

// Tick appends the retries and hedges that are due to dst.
func (s *Search) Tick(now time.Time, c Chooser, dst []Attempt) []Attempt {
	overloaded := s.overloaded()
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.state == answered || p.state == abandoned:
		case !p.retryAt.IsZero() && !now.Before(p.retryAt):
			p.retryAt = time.Time{}
			if p.inFlight() == 0 {
				dst = s.startAnotherAttempt(now, c, i, s.attemptReason(p), dst)
			}
		case s.hedgeAllowed(p) && !now.Before(p.hedgeAt):
			if overloaded {
				p.hedgeAt = now.Add(s.hedgeRecheckDelay())
				continue
			}
			dst = s.startHedge(now, c, i, dst)
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

// EachMissing calls f for each unanswered part, with the targets that it was sent to.
func (s *Search) EachMissing(f func(part int, tried []string)) {
	for i := range s.parts {
		if p := &s.parts[i]; p.state != answered {
			f(i, p.tried)
		}
	}
}

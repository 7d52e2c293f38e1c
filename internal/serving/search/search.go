package search

import (
	"slices"
	"time"

	"fescuerill/internal/invariant"
)

// Constants of a search.
const (
	// againAfter is the pause before a part is sent again that found no room.
	againAfter = 15 * time.Millisecond
	// againMost bounds that pause, which doubles.
	againMost = 200 * time.Millisecond
	// fewParts and fewShare are how many parts, and which share of them, may be
	// out when some are hedged.
	fewParts = 4
	fewShare = 0.35
	// hedgeLater is the pause before it is looked again.
	hedgeLater = 5 * time.Millisecond
	// spareSends is how many sends of a part may fail without having run before
	// the part is given up.
	spareSends = 3
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

// Ran reports whether the request has run or may have run.
func (o Outcome) Ran() bool { return o == Good || o == Failed || o == Unknown }

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

// Pool says which copies may be picked for a part.
type Pool int

// Pools of copies.
const (
	// Any is all copies; those that the part was sent to come last.
	Any Pool = iota
	// Fresh is the copies that the part was not sent to.
	Fresh
	// Tried is the copies that the part was sent to.
	Tried
)

// Choice is a copy picked for a part.
type Choice struct {
	Target string
	// Late says that its answer is not to be expected before Settle.
	Late bool
}

// Chooser picks copies for parts.
type Chooser interface {
	// Choose picks a copy. It reports false if none can be asked now.
	Choose(part int, tried []string, from Pool) (Choice, bool)
	// Extra takes an extra send of the part out of the budget and reports
	// whether there was one.
	Extra(part int) bool
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
	// ran holds the targets on which the part has run or may run.
	ran     []string
	open    int
	spare   int
	number  int
	hedge   time.Time
	again   time.Time
	pause   time.Duration
	hedged  bool
	arrived bool
	// late says that the part was left out since its answer would be late.
	late bool
	last Outcome
}

type state int

const (
	waiting state = iota
	good
	given // given up
	idle  // no copy could be asked
)

// Search is the state of one request. Reset it before use.
type Search struct {
	plan  Plan
	parts []part
	good  int
	ran   bool
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
		choice, ok := c.Choose(i, nil, Any)
		if !ok {
			s.parts[i].state = idle
			s.parts[i].again = now.Add(againAfter)
			continue
		}
		choices[i] = choice
		hopeful++
	}
	if hopeful < s.plan.MinParts {
		for i := range s.parts {
			s.parts[i].state = idle
		}
		return dst
	}
	spare := (len(s.parts) - s.plan.MinParts + 1) / 2
	for i, choice := range choices {
		p := &s.parts[i]
		switch {
		case p.state == idle:
		case choice.Late && spare > 0 && s.plan.Idempotent:
			spare--
			p.state = given
			p.late = true
		default:
			dst = append(dst, s.send(now, i, choice.Target, First))
		}
	}
	return dst
}

func (s *Search) send(now time.Time, i int, id string, why Reason) Attempt {
	p := &s.parts[i]
	invariant.Check(s.plan.Idempotent || p.open == 0 && len(p.ran) == 0, "at-most-once", "part", i)
	p.tried = append(p.tried, id)
	p.open++
	p.number++
	p.again = time.Time{}
	if s.plan.HedgeDelay > 0 {
		p.hedge = now.Add(s.plan.HedgeDelay)
	}
	return Attempt{Part: i, Number: p.number, Target: id, Reason: why}
}

// Ended takes the outcome of a send and appends to dst what to send next. It
// reports whether the answer is to be used.
func (s *Search) Ended(now time.Time, c Chooser, sent Attempt, o Outcome, dst []Attempt) ([]Attempt, bool) {
	p := &s.parts[sent.Part]
	p.open--
	p.arrived = p.arrived || o != NotSent
	if p.state == good {
		return dst, false
	}
	p.last = o
	if o.Ran() {
		s.ran = true
		if !slices.Contains(p.ran, sent.Target) {
			p.ran = append(p.ran, sent.Target)
		}
	}
	if o == Good {
		p.state = good
		s.good++
		return dst, true
	}
	return s.retry(now, c, sent.Part, dst), o == Failed
}

// retry sends a part again after a send without a good answer: at once the first
// time, later when that did not help.
func (s *Search) retry(now time.Time, c Chooser, i int, dst []Attempt) []Attempt {
	p := &s.parts[i]
	p.spare++
	switch {
	case p.open > 0:
		// Another copy is at work.
		return dst
	case !s.mayAgain(p):
		p.state = given
		return dst
	case p.spare > 1:
		p.pause = min(againMost, max(againAfter, 2*p.pause))
		p.again = now.Add(p.pause)
		return dst
	}
	return s.resend(now, c, i, Retry, dst)
}

// mayAgain reports whether the part may be sent once more.
func (s *Search) mayAgain(p *part) bool {
	if !s.plan.Idempotent && len(p.ran) > 0 {
		return false
	}
	return p.number < s.plan.MaxTargets+spareSends
}

// choose picks a copy for another send. Once the part has run on as many targets
// as it may, only those can be picked.
func (s *Search) choose(c Chooser, i int, why Reason) (Choice, bool) {
	p := &s.parts[i]
	switch {
	case why == Hedge:
		return c.Choose(i, p.tried, Fresh)
	case len(p.ran) >= s.plan.MaxTargets:
		return c.Choose(i, p.ran, Tried)
	}
	return c.Choose(i, p.tried, Any)
}

func (s *Search) resend(now time.Time, c Chooser, i int, why Reason, dst []Attempt) []Attempt {
	p := &s.parts[i]
	choice, ok := s.choose(c, i, why)
	if !ok || why == Hedge && choice.Late && now.Before(s.plan.SoftDeadline) {
		if p.open == 0 {
			p.state = idle
			p.again = now.Add(againAfter)
		}
		return dst
	}
	if (p.arrived || p.open > 0) && !c.Extra(i) {
		if p.open == 0 {
			p.again = now.Add(againMost)
		}
		return dst
	}
	p.state = waiting
	return append(dst, s.send(now, i, choice.Target, why))
}

// Tick appends to dst what to send now that time has passed. While most parts
// are out, the targets are busy rather than a few of them late, and second sends
// would only make them busier.
func (s *Search) Tick(now time.Time, c Chooser, dst []Attempt) []Attempt {
	crowded := s.waiting() > max(fewParts, int(fewShare*float64(len(s.parts))))
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.state == good || p.state == given:
		case !p.again.IsZero() && !now.Before(p.again):
			p.again = time.Time{}
			if p.open == 0 {
				dst = s.resend(now, c, i, s.reason(p), dst)
			}
		case s.mayHedge(p) && !now.Before(p.hedge):
			if crowded {
				p.hedge = now.Add(hedgeLater)
				continue
			}
			p.hedged = true
			dst = s.resend(now, c, i, Hedge, dst)
		}
	}
	return dst
}

// waiting returns the number of parts that are out.
func (s *Search) waiting() int {
	n := 0
	for i := range s.parts {
		if s.parts[i].state == waiting {
			n++
		}
	}
	return n
}

func (s *Search) reason(p *part) Reason {
	if p.number == 0 {
		return First
	}
	return Retry
}

func (s *Search) mayHedge(p *part) bool {
	return s.plan.HedgeDelay > 0 && s.plan.Idempotent && !p.hedged && p.open == 1 && len(p.ran)+p.open < s.plan.MaxTargets
}

// Next returns when Tick is to be called again.
func (s *Search) Next(now time.Time) time.Time {
	next := s.plan.Deadline
	if t := s.plan.SoftDeadline; !t.IsZero() && now.Before(t) {
		next = earlier(next, t)
	}
	for i := range s.parts {
		p := &s.parts[i]
		if p.state == good || p.state == given {
			continue
		}
		if !p.again.IsZero() {
			next = earlier(next, p.again)
		}
		if s.mayHedge(p) {
			next = earlier(next, p.hedge)
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
func (s *Search) Covered() int { return s.good }

// Missing calls f for each part that is not in.
func (s *Search) Missing(f func(part int, late bool, tried []string)) {
	for i := range s.parts {
		if p := &s.parts[i]; p.state != good {
			f(i, p.late, p.tried)
		}
	}
}

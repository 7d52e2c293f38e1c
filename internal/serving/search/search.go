package search

import (
	"time"

	"fescuerill/internal/invariant"
)

// Constants of a search.
const (
	// againAfter is the pause before a part is sent again that found no room.
	againAfter = 15 * time.Millisecond
	// againMost bounds that pause, which doubles.
	againMost = 200 * time.Millisecond
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
	// Least is the number of parts that an answer needs.
	Least int
	// Attempts is the number of targets on which a part may run.
	Attempts int
	// Repeatable says that a part may run more than once.
	Repeatable bool
	// Hedge is how long to wait for a part before it is sent to another copy as
	// well; 0 means never.
	Hedge time.Duration
	// Settle is when an answer is given as soon as it has the least parts; zero
	// means at End.
	Settle time.Time
	// End is when there is no more time.
	End time.Time
}

// Chooser picks a copy for a part. The copies that the part was sent to are to
// be avoided; a copy in tried is only picked when no other can be. It reports
// false if no copy can be asked now.
type Chooser interface {
	Choose(part int, tried []string, again bool) (string, bool)
	// Extra takes an extra send of the part out of the budget and reports
	// whether there was one.
	Extra(part int) bool
}

// Send is one send of a part to a target.
type Send struct {
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
	state   state
	tried   []string
	open    int
	runs    int
	spare   int
	number  int
	hedge   time.Time
	again   time.Time
	pause   time.Duration
	hedged  bool
	arrived bool
	last    Outcome
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

// Begin appends to dst the first send of each part.
func (s *Search) Begin(now time.Time, c Chooser, dst []Send) []Send {
	for i := range s.parts {
		dst = s.first(now, c, i, dst)
	}
	return dst
}

func (s *Search) first(now time.Time, c Chooser, i int, dst []Send) []Send {
	p := &s.parts[i]
	id, ok := c.Choose(i, nil, false)
	if !ok {
		p.state = idle
		p.again = now.Add(againAfter)
		return dst
	}
	p.state = waiting
	return append(dst, s.send(now, i, id, First))
}

func (s *Search) send(now time.Time, i int, id string, why Reason) Send {
	p := &s.parts[i]
	p.tried = append(p.tried, id)
	p.open++
	p.number++
	p.again = time.Time{}
	if s.plan.Hedge > 0 {
		p.hedge = now.Add(s.plan.Hedge)
	}
	invariant.Check(s.plan.Repeatable || !s.mayRun(p), "at-most-once", "part", i)
	return Send{Part: i, Number: p.number, Target: id, Reason: why}
}

// mayRun reports whether a send of the part, other than one just opened, has
// run or may run.
func (s *Search) mayRun(p *part) bool { return p.runs > 0 || p.open > 1 }

// Ended takes the outcome of a send and appends to dst what to send next. It
// reports whether the answer is to be used.
func (s *Search) Ended(now time.Time, c Chooser, i int, o Outcome, dst []Send) ([]Send, bool) {
	p := &s.parts[i]
	p.open--
	if o != NotSent {
		p.arrived = true
	}
	if p.state == good {
		return dst, false
	}
	p.last = o
	if o.Ran() {
		p.runs++
		s.ran = true
	}
	if o == Good {
		p.state = good
		s.good++
		return dst, true
	}
	if !o.Ran() {
		p.spare++
	}
	return s.retry(now, c, i, o, dst), o == Failed
}

// retry sends a part again after a send without a good answer, at once if
// another copy can be asked, later if there was no room.
func (s *Search) retry(now time.Time, c Chooser, i int, o Outcome, dst []Send) []Send {
	p := &s.parts[i]
	if p.open > 0 && s.plan.Repeatable {
		// Another copy is at work; the hedge that it may still get follows in
		// Tick.
		return dst
	}
	if !s.mayAgain(p) {
		p.state = given
		return dst
	}
	if o == NotRun && p.spare > 1 {
		p.pause = min(againMost, max(againAfter, 2*p.pause))
		p.again = now.Add(p.pause)
		return dst
	}
	return s.resend(now, c, i, Retry, dst)
}

// mayAgain reports whether the part may be sent once more.
func (s *Search) mayAgain(p *part) bool {
	if !s.plan.Repeatable && p.runs > 0 {
		return false
	}
	return p.runs+p.open < s.plan.Attempts && p.spare <= spareSends
}

func (s *Search) resend(now time.Time, c Chooser, i int, why Reason, dst []Send) []Send {
	p := &s.parts[i]
	id, ok := c.Choose(i, p.tried, why == Retry)
	if !ok {
		if p.open == 0 {
			p.state = idle
			p.again = now.Add(againAfter)
		}
		return dst
	}
	if (p.arrived || p.open > 0) && !c.Extra(i) {
		p.again = now.Add(againMost)
		return dst
	}
	p.state = waiting
	return append(dst, s.send(now, i, id, why))
}

// Tick appends to dst what to send now that time has passed.
func (s *Search) Tick(now time.Time, c Chooser, dst []Send) []Send {
	for i := range s.parts {
		p := &s.parts[i]
		switch {
		case p.state == good || p.state == given:
		case !p.again.IsZero() && !now.Before(p.again):
			p.again = time.Time{}
			if p.number == 0 {
				dst = s.first(now, c, i, dst)
			} else if p.open == 0 {
				dst = s.resend(now, c, i, Retry, dst)
			}
		case s.mayHedge(p) && !now.Before(p.hedge):
			p.hedged = true
			dst = s.resend(now, c, i, Hedge, dst)
		}
	}
	return dst
}

func (s *Search) mayHedge(p *part) bool {
	return s.plan.Hedge > 0 && s.plan.Repeatable && !p.hedged && p.open == 1 && s.mayAgain(p)
}

// Next returns when Tick is to be called again.
func (s *Search) Next(now time.Time) time.Time {
	next := s.plan.End
	if t := s.plan.Settle; !t.IsZero() && now.Before(t) {
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

// Verdict is what is to become of a request.
type Verdict int

// Verdicts on requests.
const (
	// Wait means that nothing is decided yet.
	Wait Verdict = iota
	// Answer means that the parts that are in make the answer.
	Answer
	// Refuse means that the request cannot be served and has not run.
	Refuse
	// Fail means that the request cannot be served and may have run.
	Fail
	// Expire means that there is no more time.
	Expire
)

// Verdict returns what is to become of the request now.
func (s *Search) Verdict(now time.Time) Verdict {
	hopeful, open := 0, 0
	for i := range s.parts {
		p := &s.parts[i]
		if p.state == waiting {
			hopeful++
		}
		open += p.open
	}
	switch {
	case s.good == len(s.parts):
		return Answer
	case s.good >= s.plan.Least && (hopeful == 0 || s.settled(now)):
		return Answer
	case s.good+hopeful < s.plan.Least:
		return s.failure(open)
	case !now.Before(s.plan.End):
		if !s.ran && open == 0 {
			return Refuse
		}
		return Expire
	}
	return Wait
}

func (s *Search) settled(now time.Time) bool {
	settle := s.plan.Settle
	if settle.IsZero() {
		settle = s.plan.End
	}
	return !now.Before(settle)
}

func (s *Search) failure(open int) Verdict {
	if s.ran || open > 0 {
		return Fail
	}
	return Refuse
}

// Covered returns the number of parts that are in.
func (s *Search) Covered() int { return s.good }

// Missing calls f for each part that is not in.
func (s *Search) Missing(f func(part int, last Outcome, tried []string)) {
	for i := range s.parts {
		if p := &s.parts[i]; p.state != good {
			f(i, p.last, p.tried)
		}
	}
}

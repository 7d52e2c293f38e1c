package search

import "time"

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
	hopeful, open := s.waiting(), 0
	for i := range s.parts {
		open += s.parts[i].open
	}
	switch {
	case s.good == len(s.parts):
		return Answer
	case s.good >= s.plan.MinParts && (hopeful == 0 || s.settled(now)):
		return Answer
	case s.good+hopeful < s.plan.MinParts:
		return s.failure(open)
	case !now.Before(s.plan.Deadline):
		if !s.ran && open == 0 {
			return Refuse
		}
		return Expire
	}
	return Wait
}

func (s *Search) settled(now time.Time) bool {
	settle := s.plan.Deadline
	if !s.plan.SoftDeadline.IsZero() {
		settle = earlier(settle, s.plan.SoftDeadline)
	}
	return !now.Before(settle)
}

func (s *Search) failure(open int) Verdict {
	if s.ran || open > 0 {
		return Fail
	}
	return Refuse
}

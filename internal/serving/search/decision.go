package search

import "time"

// Decision is what is to become of a request.
type Decision int

// Verdicts on requests.
const (
	// Wait means that nothing is decided yet.
	Wait Decision = iota
	// Answer means that the parts that are in make the answer.
	Answer
	// Refuse means that the request cannot be served and has not run.
	Refuse
	// Fail means that the request cannot be served and may have run.
	Fail
	// Expire means that there is no more time.
	Expire
)

// Decide returns what is to become of the request now.
func (s *Search) Decide(now time.Time) Decision {
	hopeful, open := s.countWaiting(), 0
	for i := range s.parts {
		open += s.parts[i].inFlight
	}
	switch {
	case s.answered == len(s.parts):
		return Answer
	case s.answered >= s.plan.MinParts && (hopeful == 0 || s.pastSoftDeadline(now)):
		return Answer
	case s.answered+hopeful < s.plan.MinParts:
		return s.failure(open)
	case !now.Before(s.plan.Deadline):
		if !s.mayHaveRun && open == 0 {
			return Refuse
		}
		return Expire
	}
	return Wait
}

func (s *Search) pastSoftDeadline(now time.Time) bool {
	settle := s.plan.Deadline
	if !s.plan.SoftDeadline.IsZero() {
		settle = earlier(settle, s.plan.SoftDeadline)
	}
	return !now.Before(settle)
}

func (s *Search) failure(open int) Decision {
	if s.mayHaveRun || open > 0 {
		return Fail
	}
	return Refuse
}

package search

import "time"

// Decision is what the caller of Decide does with a request next.
type Decision int

// Decisions on requests.
const (
	// Wait means that the request is still in progress.
	Wait Decision = iota
	// Answer means that the answered parts are sufficient for the answer.
	Answer
	// Refuse means that the request cannot be served and has not run anywhere.
	Refuse
	// Fail means that the request cannot be served and may have run.
	Fail
	// Expire means that the deadline has passed.
	Expire
)

// Decide returns the decision on the request as of now.
func (s *Search) Decide(now time.Time) Decision {
	pending, inFlight := s.countWaiting(), 0
	for i := range s.parts {
		inFlight += s.parts[i].inFlight()
	}
	switch {
	case s.answered == len(s.parts):
		return Answer
	case s.answered >= s.plan.MinParts && (pending == 0 || s.pastSoftDeadline(now)):
		return Answer
	case s.answered+pending < s.plan.MinParts:
		return s.failure(inFlight)
	case !now.Before(s.plan.Deadline):
		if !s.mayHaveRun && inFlight == 0 {
			return Refuse
		}
		return Expire
	}
	return Wait
}

func (s *Search) pastSoftDeadline(now time.Time) bool {
	deadline := s.plan.Deadline
	if !s.plan.SoftDeadline.IsZero() {
		deadline = earlier(deadline, s.plan.SoftDeadline)
	}
	return !now.Before(deadline)
}

// failure returns the decision on a request that cannot reach MinParts any more.
func (s *Search) failure(inFlight int) Decision {
	if s.mayHaveRun || inFlight > 0 {
		return Fail
	}
	return Refuse
}

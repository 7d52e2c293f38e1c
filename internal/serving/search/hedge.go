package search

import "time"

// Parameters of hedges.
const (
	// Parts are hedged only while at most hedgeMaxWaiting of them, or
	// hedgeMaxWaitingShare of them if that is more, are unanswered.
	hedgeMaxWaiting      = 4
	hedgeMaxWaitingShare = 0.35
	// A hedge that could not be sent, or whose target gave no good answer, is tried again
	// after hedgeRecheckShare of the hedge delay, but at least minHedgeRecheck.
	hedgeRecheckShare = 0.25
	minHedgeRecheck   = 5 * time.Millisecond
	// maxHedgeShare bounds the hedge delay, as a share of the latency target.
	maxHedgeShare = 0.3
	// A host that started less than startPeriod ago hedges after startHedgeShare of the
	// latency target: all callers may have come back at once.
	startPeriod     = 3 * time.Second
	startHedgeShare = 0.6
)

// HedgeDelay returns the hedge delay of a search with a latency target on a host that
// started some time ago. quantile is a high quantile of recent latencies.
func HedgeDelay(latencyTarget, quantile, uptime time.Duration) time.Duration {
	if uptime < startPeriod {
		return time.Duration(startHedgeShare * float64(latencyTarget))
	}
	return min(quantile, time.Duration(maxHedgeShare*float64(latencyTarget)))
}

// hedgeRecheckDelay returns the delay after which a hedge is tried again.
func (s *Search) hedgeRecheckDelay() time.Duration {
	return max(minHedgeRecheck, time.Duration(hedgeRecheckShare*float64(s.plan.HedgeDelay)))
}

// overloaded reports whether so many parts are unanswered that the targets are
// overloaded rather than a few of them slow. Hedges would only add load then.
func (s *Search) overloaded() bool {
	return s.countWaiting() > max(hedgeMaxWaiting, int(hedgeMaxWaitingShare*float64(len(s.parts))))
}

// hedgeAllowed reports whether a part can have a second attempt in flight.
func (s *Search) hedgeAllowed(p *part) bool {
	return s.plan.HedgeDelay > 0 && s.plan.Idempotent && p.inFlight() == 1 && s.retryAllowed(p) &&
		(p.mayRunOn() < s.plan.MaxTargets || len(p.idleRanOn()) > 0)
}

// startHedge appends a hedge of a part to dst. If no other replica is available now or the
// retry budget is empty, the hedge is tried again later: an ejection may end soon.
func (s *Search) startHedge(now time.Time, c Chooser, i int, dst []Attempt) []Attempt {
	p := &s.parts[i]
	p.hedgeAt = now.Add(s.hedgeRecheckDelay())
	choice, ok := s.chooseHedge(c, i)
	if !ok || !c.SpendRetryBudget(i) {
		return dst
	}
	return append(dst, s.startAttempt(now, i, choice.Target, Hedge))
}

// chooseHedge chooses a replica that has no attempt of the part in flight: an untried one
// if there is one, or else one that refused the part or failed it. Once the part may run
// on MaxTargets targets, only those are candidates.
func (s *Search) chooseHedge(c Chooser, i int) (Choice, bool) {
	p := &s.parts[i]
	if p.mayRunOn() >= s.plan.MaxTargets {
		return c.Choose(i, p.idleRanOn(), TriedCandidates)
	}
	if choice, ok := c.Choose(i, p.tried, UntriedCandidates); ok {
		return choice, true
	}
	return c.Choose(i, p.inFlightAt, UntriedCandidates)
}

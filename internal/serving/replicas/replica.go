package replicas

import (
	"math"
	"time"
)

// Parameters of the observed state of a replica.
const (
	// slowdownWeight is the weight of a new latency in the moving average.
	slowdownWeight = 0.3
	// slowdownDecay is the time constant with which an observed slowdown decays.
	slowdownDecay = 2500 * time.Millisecond
	// failureDecay is the time constant with which the failure rate decays.
	failureDecay = 2 * time.Second
	// failureWeight is the weight of a new result in the failure rate.
	failureWeight = 0.25
	// minEjection and maxEjection bound the ejection of a replica that could not be
	// reached; the time doubles each time.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second
	// minShedEjection and maxShedEjection bound the ejection of a replica that refused a
	// request because it was overloaded; the time doubles with each refusal until the
	// replica answers. A single refusal may be due to a fault or a burst that is over at
	// once, so the first ejection leaves time to try again within a search.
	minShedEjection = 5 * time.Millisecond
	maxShedEjection = 40 * time.Millisecond
	// slowThreshold is the slowdown above which an answer counts as slow.
	slowThreshold = 3.0
	// sameCauseWindow is the time within which slow answers are attributed to the
	// same cause.
	sameCauseWindow = 20 * time.Millisecond
	// maxSlowdown bounds the slowdown of a replica.
	maxSlowdown = 30.0
)

// Result is the result of a request to a replica.
type Result int

// Results of requests.
const (
	// Answered means that the replica answered successfully.
	Answered Result = iota
	// Shed means that the replica refused the request because it was overloaded;
	// the request did not run.
	Shed
	// Failed means that the answer reported a failure, or was damaged or truncated.
	Failed
	// DeadlineExceeded means that the replica answered that the time it was given did not
	// suffice.
	DeadlineExceeded
	// Unreachable means that no connection could be opened, or that the replica
	// did not respond.
	Unreachable
	// Abandoned means that the request ended for a reason that is not the replica's, such
	// as a caller that disconnected. It counts only as a slow answer, if it lasted longer
	// than the typical latency.
	Abandoned
)

// Replica is the observed state of one target. The zero value has no observations.
type Replica struct {
	// slowdown is a moving average, as of slowdownAt; lastSlow reports whether the
	// last latency in it was slow.
	slowdown   float64
	slowdownAt time.Time
	lastSlow   bool
	// failureRate is a moving average, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// ejection is the length of the last ejection; a result that shows that the replica
	// responds resets it to 0.
	ejection     time.Duration
	ejectedUntil time.Time
	// closed reports that the replica asked to be ejected until then. Answers to requests in
	// flight do not end such an ejection.
	closed   bool
	inFlight []inFlightRequest
	// probing reports that a request sent after the end of the ejection is in flight.
	probing  bool
	lastUsed time.Time
}

// inFlightRequest is a request in flight and the time at which its answer becomes
// overdue.
type inFlightRequest struct {
	token     uint64
	sentAt    time.Time
	overdueAt time.Time
}

// InFlight returns the number of requests that this host has in flight to the
// replica.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// Overdue reports whether the answer to any request in flight is overdue.
func (r *Replica) Overdue(now time.Time) bool {
	for _, q := range r.inFlight {
		if now.After(q.overdueAt) {
			return true
		}
	}
	return false
}

// Ejected reports whether the replica gets no requests now. After the ejection
// ends, one request at a time probes the replica until one is answered.
func (r *Replica) Ejected(now time.Time) bool {
	if r.ejection == 0 {
		return false
	}
	return now.Before(r.ejectedUntil) || r.probing
}

// EjectionLeft returns the remaining time of the ejection.
func (r *Replica) EjectionLeft(now time.Time) time.Duration {
	if r.ejection == 0 {
		return 0
	}
	return max(0, r.ejectedUntil.Sub(now))
}

// Slowdown returns the latency of the replica as a multiple of the typical latency.
func (r *Replica) Slowdown(now time.Time) float64 {
	if r.slowdown == 0 {
		return 1
	}
	return 1 + (r.slowdown-1)*decay(now.Sub(r.slowdownAt), slowdownDecay)
}

// FailureRate returns the share of requests that the replica failed recently, from
// 0 to 1.
func (r *Replica) FailureRate(now time.Time) float64 {
	return r.failureRate * decay(now.Sub(r.failureRateAt), failureDecay)
}

// decay returns the factor by which an observation of the given age has decayed.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(timeConstant))
}

// begin records a request in flight whose answer is overdue after overdueAfter.
func (r *Replica) begin(now time.Time, token uint64, overdueAfter time.Duration) {
	r.inFlight = append(r.inFlight, inFlightRequest{token: token, sentAt: now, overdueAt: now.Add(overdueAfter)})
	r.lastUsed = now
	if r.ejection > 0 && !now.Before(r.ejectedUntil) {
		r.probing = true
	}
}

// end records the result of a request and returns its latency; typical is the
// typical latency of such requests.
func (r *Replica) end(now time.Time, token uint64, result Result, typical time.Duration) time.Duration {
	latency := r.removeInFlight(now, token)
	r.recordResult(now, result, typical, latency)
	return latency
}

// removeInFlight removes a request in flight and returns the time since it was sent.
func (r *Replica) removeInFlight(now time.Time, token uint64) time.Duration {
	for i, q := range r.inFlight {
		if q.token == token {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return now.Sub(q.sentAt)
		}
	}
	return 0
}

// closeUntil ejects the replica until a time, as it has asked for. The replica is probed by
// one request at a time afterwards, so that it is not hit at once by all that waited.
func (r *Replica) closeUntil(until time.Time) {
	if until.After(r.ejectedUntil) {
		r.ejectedUntil = until
	}
	r.ejection, r.closed = max(r.ejection, minShedEjection), true
}

// endEjection ends the ejection of a replica that has answered, unless the replica asked
// for it and its time is not over.
func (r *Replica) endEjection(now time.Time) {
	if r.closed && now.Before(r.ejectedUntil) {
		return
	}
	r.ejection, r.closed = 0, false
}

// recordResult updates the observed state with the result and latency of a request.
func (r *Replica) recordResult(now time.Time, result Result, typical, latency time.Duration) {
	r.probing = false
	switch result {
	case Answered:
		r.recordSlowdown(now, float64(latency)/float64(max(typical, time.Millisecond)))
		r.failureRate = r.FailureRate(now) * (1 - failureWeight)
		r.failureRateAt = now
		r.endEjection(now)
	case Shed:
		r.failureRate = r.FailureRate(now)*(1-failureWeight) + failureWeight
		r.failureRateAt = now
		r.eject(now, minShedEjection, maxShedEjection)
	case Failed:
		r.failureRate = r.FailureRate(now)*(1-failureWeight) + failureWeight
		r.failureRateAt = now
		r.endEjection(now)
	case DeadlineExceeded:
		r.recordSlowdown(now, max(r.Slowdown(now), float64(latency)/float64(max(typical, time.Millisecond))))
		r.endEjection(now)
	case Unreachable:
		r.failureRate = r.FailureRate(now)*(1-failureWeight) + failureWeight
		r.failureRateAt = now
		r.eject(now, minEjection, maxEjection)
	case Abandoned:
		if latency > typical {
			r.recordSlowdown(now, max(r.Slowdown(now), float64(latency)/float64(max(typical, time.Millisecond))))
		}
	}
}

// recordSlowdown records the latency of an answer as a multiple of the typical
// latency. A single slow answer may be due to a short pause of the target, so it counts
// only as slowThreshold until another one follows. Slow answers within sameCauseWindow
// of it may be due to the same pause and are ignored.
func (r *Replica) recordSlowdown(now time.Time, observed float64) {
	slow := observed > slowThreshold
	if slow && r.lastSlow && now.Sub(r.slowdownAt) < sameCauseWindow {
		return
	}
	counted := observed
	if slow && !r.lastSlow {
		counted = slowThreshold
	}
	r.slowdown = min(maxSlowdown, r.Slowdown(now)*(1-slowdownWeight)+counted*slowdownWeight)
	r.slowdownAt = now
	r.lastSlow = slow
}

// eject ejects the replica for twice as long as the last time, within the bounds. It
// does nothing while the replica is ejected.
func (r *Replica) eject(now time.Time, shortest, longest time.Duration) {
	if now.Before(r.ejectedUntil) {
		return
	}
	r.ejection = min(longest, max(shortest, 2*r.ejection))
	r.ejectedUntil = now.Add(r.ejection)
}

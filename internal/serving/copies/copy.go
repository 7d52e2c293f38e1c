package copies

import (
	"math"
	"time"
)

// Constants of the memory of a copy.
const (
	// slowdownWeight is the weight of a new latency in the mean.
	slowdownWeight = 0.3
	// slowdownDecay is the time in which the memory of a pace falls to a third.
	slowdownDecay = 2500 * time.Millisecond
	// failureDecay is the time in which the memory of failures falls to a third.
	failureDecay = 2 * time.Second
	// failureWeight is the weight of a new outcome in the share of failures.
	failureWeight = 0.25
	// minEjection and restMost bound how long a copy is left alone after it could
	// not be reached.
	minEjection = 200 * time.Millisecond
	maxEjection = 2 * time.Second
	// shedEjection is how long a copy that refused for want of room is left alone.
	shedEjection = 40 * time.Millisecond
	// slowThreshold is the pace from which an answer is slow.
	slowThreshold = 3.0
	// sameCauseWindow is the time within which slow answers have one cause.
	sameCauseWindow = 20 * time.Millisecond
	// maxSlowdown bounds the memory of a slow copy.
	maxSlowdown = 30.0
)

// Result is how a request to a copy ended.
type Result int

// Results of requests.
const (
	// Answered is a good answer.
	Answered Result = iota
	// Shed is a refusal for want of room; the request did not run.
	Shed
	// Failed is an answer that is a failure, or that is damaged or cut off.
	Failed
	// TimedOut is an answer that did not come within the time it was given.
	TimedOut
	// Unreachable is no answer: no connection could be opened, or the copy kept
	// silent.
	Unreachable
	// Abandoned says nothing of the copy.
	Abandoned
)

// Copy is the memory of one target. The zero value knows nothing.
type Copy struct {
	slowdown      float64
	slowdownAt    time.Time
	lastSlow      bool
	failureRate   float64
	failureRateAt time.Time
	ejection      time.Duration
	ejectedUntil  time.Time
	inFlight      []inFlightRequest
	probing       bool
	lastUsed      time.Time
}

// inFlightRequest is a request under way and when its answer becomes overdue.
type inFlightRequest struct {
	token     uint64
	sentAt    time.Time
	overdueAt time.Time
}

// InFlight returns the number of requests that this host has under way at the
// copy.
func (c *Copy) InFlight() int { return len(c.inFlight) }

// Overdue reports whether the answer to a request is overdue.
func (c *Copy) Overdue(now time.Time) bool {
	for _, s := range c.inFlight {
		if now.After(s.overdueAt) {
			return true
		}
	}
	return false
}

// Ejected reports whether the copy is to be left alone. After its rest one
// request at a time tries it until one is answered.
func (c *Copy) Ejected(now time.Time) bool {
	if c.ejection == 0 {
		return false
	}
	return now.Before(c.ejectedUntil) || c.probing
}

// EjectionLeft returns how long the copy is still left alone.
func (c *Copy) EjectionLeft(now time.Time) time.Duration {
	if c.ejection == 0 {
		return 0
	}
	return max(0, c.ejectedUntil.Sub(now))
}

// Slowdown returns how many times longer than usual the copy takes to answer.
func (c *Copy) Slowdown(now time.Time) float64 {
	if c.slowdown == 0 {
		return 1
	}
	return 1 + (c.slowdown-1)*decay(now.Sub(c.slowdownAt), slowdownDecay)
}

// FailureRate returns the share of requests that the copy fails, as far as it is
// remembered.
func (c *Copy) FailureRate(now time.Time) float64 {
	return c.failureRate * decay(now.Sub(c.failureRateAt), failureDecay)
}

func decay(age, scale time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(scale))
}

// begin notes a request that becomes overdue after a time.
func (c *Copy) begin(now time.Time, token uint64, due time.Duration) {
	c.inFlight = append(c.inFlight, inFlightRequest{token: token, sentAt: now, overdueAt: now.Add(due)})
	c.lastUsed = now
	if c.ejection > 0 && !now.Before(c.ejectedUntil) {
		c.probing = true
	}
}

// end takes the result of a request and returns how long it took; usual is the
// time that such a request usually takes.
func (c *Copy) end(now time.Time, token uint64, result Result, usual time.Duration) time.Duration {
	took := c.removeInFlight(now, token)
	c.recordResult(now, result, usual, took)
	return took
}

// removeInFlight forgets a request under way and returns how long ago it was sent.
func (c *Copy) removeInFlight(now time.Time, token uint64) time.Duration {
	for i, s := range c.inFlight {
		if s.token == token {
			c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
			return now.Sub(s.sentAt)
		}
	}
	return 0
}

// recordResult learns from how a request ended that took a time.
func (c *Copy) recordResult(now time.Time, result Result, usual, took time.Duration) {
	c.probing = false
	switch result {
	case Answered:
		c.recordSlowdown(now, float64(took)/float64(max(usual, time.Millisecond)))
		c.failureRate = c.FailureRate(now) * (1 - failureWeight)
		c.failureRateAt = now
		c.ejection = 0
	case Shed:
		c.failureRate = c.FailureRate(now)*(1-failureWeight) + failureWeight
		c.failureRateAt = now
		c.eject(now, shedEjection, shedEjection)
	case Failed:
		c.failureRate = c.FailureRate(now)*(1-failureWeight) + failureWeight
		c.failureRateAt = now
		c.ejection = 0
	case TimedOut:
		c.recordSlowdown(now, max(c.Slowdown(now), float64(took)/float64(max(usual, time.Millisecond))))
		c.ejection = 0
	case Unreachable:
		c.failureRate = c.FailureRate(now)*(1-failureWeight) + failureWeight
		c.failureRateAt = now
		c.eject(now, minEjection, maxEjection)
	case Abandoned:
		if took > usual {
			c.recordSlowdown(now, max(c.Slowdown(now), float64(took)/float64(max(usual, time.Millisecond))))
		}
	}
}

// recordSlowdown takes how many times longer than usual an answer took. One slow answer
// may be due to a short pause, as may those that come right after it, so they
// count little until another follows.
func (c *Copy) recordSlowdown(now time.Time, pace float64) {
	slow := pace > slowThreshold
	if slow && c.lastSlow && now.Sub(c.slowdownAt) < sameCauseWindow {
		return
	}
	taken := pace
	if slow && !c.lastSlow {
		taken = slowThreshold
	}
	c.slowdown = min(maxSlowdown, c.Slowdown(now)*(1-slowdownWeight)+taken*slowdownWeight)
	c.slowdownAt = now
	c.lastSlow = slow
}

func (c *Copy) eject(now time.Time, least, most time.Duration) {
	if now.Before(c.ejectedUntil) {
		return
	}
	c.ejection = min(most, max(least, 2*c.ejection))
	c.ejectedUntil = now.Add(c.ejection)
}

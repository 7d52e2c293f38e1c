package replicas

import (
	"math"
	"time"
)

// Constants of the memory of a copy.
const (
	// paceGain is the weight of a new latency in the mean.
	paceGain = 0.3
	// paceFade is the time in which the memory of a pace falls to a third.
	paceFade = 2500 * time.Millisecond
	// failureFade is the time in which the memory of failures falls to a third.
	failureFade = 2 * time.Second
	// failureGain is the weight of a new outcome in the share of failures.
	failureGain = 0.25
	// restLeast and restMost bound how long a copy is left alone after it could
	// not be reached.
	restLeast = 200 * time.Millisecond
	restMost  = 2 * time.Second
	// shedRest is how long a copy that refused for want of room is left alone.
	shedRest = 40 * time.Millisecond
	// slowPace is the pace from which an answer is slow.
	slowPace = 3.0
	// sameCause is the time within which slow answers have one cause.
	sameCause = 20 * time.Millisecond
	// paceMost bounds the memory of a slow copy.
	paceMost = 30.0
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
	// Slow is an answer that did not come within the time it was given.
	Slow
	// Lost is no answer: no connection could be opened, or the copy kept
	// silent.
	Lost
	// Abandoned says nothing of the copy.
	Abandoned
)

// Replica is the memory of one target. The zero value knows nothing.
type Replica struct {
	pace     float64
	paceAt   time.Time
	slow     bool
	failures float64
	failedAt time.Time
	rest     time.Duration
	restTill time.Time
	underWay []sent
	trial    bool
	used     time.Time
}

// sent is a request under way and when its answer becomes overdue.
type sent struct {
	token uint64
	at    time.Time
	due   time.Time
}

// UnderWay returns the number of requests that this host has under way at the
// copy.
func (c *Replica) UnderWay() int { return len(c.underWay) }

// Overdue reports whether the answer to a request is overdue.
func (c *Replica) Overdue(now time.Time) bool {
	for _, s := range c.underWay {
		if now.After(s.due) {
			return true
		}
	}
	return false
}

// Resting reports whether the copy is to be left alone. After its rest one
// request at a time tries it until one is answered.
func (c *Replica) Resting(now time.Time) bool {
	if c.rest == 0 {
		return false
	}
	return now.Before(c.restTill) || c.trial
}

// RestLeft returns how long the copy is still left alone.
func (c *Replica) RestLeft(now time.Time) time.Duration {
	if c.rest == 0 {
		return 0
	}
	return max(0, c.restTill.Sub(now))
}

// Pace returns how many times longer than usual the copy takes to answer.
func (c *Replica) Pace(now time.Time) float64 {
	if c.pace == 0 {
		return 1
	}
	return 1 + (c.pace-1)*fade(now.Sub(c.paceAt), paceFade)
}

// Failures returns the share of requests that the copy fails, as far as it is
// remembered.
func (c *Replica) Failures(now time.Time) float64 {
	return c.failures * fade(now.Sub(c.failedAt), failureFade)
}

func fade(age, scale time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(scale))
}

// begin notes a request that becomes overdue after a time.
func (c *Replica) begin(now time.Time, token uint64, due time.Duration) {
	c.underWay = append(c.underWay, sent{token: token, at: now, due: now.Add(due)})
	c.used = now
	if c.rest > 0 && !now.Before(c.restTill) {
		c.trial = true
	}
}

// end takes the result of a request and returns how long it took; usual is the
// time that such a request usually takes.
func (c *Replica) end(now time.Time, token uint64, result Result, usual time.Duration) time.Duration {
	took := c.drop(now, token)
	c.judge(now, result, usual, took)
	return took
}

// drop forgets a request under way and returns how long ago it was sent.
func (c *Replica) drop(now time.Time, token uint64) time.Duration {
	for i, s := range c.underWay {
		if s.token == token {
			c.underWay = append(c.underWay[:i], c.underWay[i+1:]...)
			return now.Sub(s.at)
		}
	}
	return 0
}

// judge learns from how a request ended that took a time.
func (c *Replica) judge(now time.Time, result Result, usual, took time.Duration) {
	c.trial = false
	switch result {
	case Answered:
		c.learn(now, float64(took)/float64(max(usual, time.Millisecond)))
		c.failures = c.Failures(now) * (1 - failureGain)
		c.failedAt = now
		c.rest = 0
	case Shed:
		c.failures = c.Failures(now)*(1-failureGain) + failureGain
		c.failedAt = now
		c.restFor(now, shedRest, shedRest)
	case Failed:
		c.failures = c.Failures(now)*(1-failureGain) + failureGain
		c.failedAt = now
		c.rest = 0
	case Slow:
		c.learn(now, max(c.Pace(now), float64(took)/float64(max(usual, time.Millisecond))))
		c.rest = 0
	case Lost:
		c.failures = c.Failures(now)*(1-failureGain) + failureGain
		c.failedAt = now
		c.restFor(now, restLeast, restMost)
	case Abandoned:
		if took > usual {
			c.learn(now, max(c.Pace(now), float64(took)/float64(max(usual, time.Millisecond))))
		}
	}
}

// learn takes how many times longer than usual an answer took. One slow answer
// may be due to a short pause, as may those that come right after it, so they
// count little until another follows.
func (c *Replica) learn(now time.Time, pace float64) {
	slow := pace > slowPace
	if slow && c.slow && now.Sub(c.paceAt) < sameCause {
		return
	}
	taken := pace
	if slow && !c.slow {
		taken = slowPace
	}
	c.pace = min(paceMost, c.Pace(now)*(1-paceGain)+taken*paceGain)
	c.paceAt = now
	c.slow = slow
}

func (c *Replica) restFor(now time.Time, least, most time.Duration) {
	if now.Before(c.restTill) {
		return
	}
	c.rest = min(most, max(least, 2*c.rest))
	c.restTill = now.Add(c.rest)
}

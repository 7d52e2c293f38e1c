package search

import (
	"slices"
	"time"
)

// part is the state of one part.
type part struct {
	state state
	tried []string
	// ranOn holds the targets on which the part has run or may have run, and inFlightAt
	// those of the attempts in flight.
	ranOn          []string
	inFlightAt     []string
	failedAttempts int
	attempts       int
	// hedgeAt is the time of the next hedge. While a second attempt is in flight there
	// is none.
	hedgeAt    time.Time
	retryAt    time.Time
	retryDelay time.Duration
	// reachedTarget reports that an attempt may have reached its target.
	reachedTarget bool
	lastOutcome   Outcome
}

type state int

const (
	waiting state = iota // an attempt is in flight, or a retry is scheduled
	answered
	abandoned
	noTarget // no replica could be chosen; tried again after minRetryDelay
)

// inFlight returns the number of attempts in flight.
func (p *part) inFlight() int { return len(p.inFlightAt) }

// started records that an attempt was sent to a target.
func (p *part) started(target string) {
	p.tried = append(p.tried, target)
	p.inFlightAt = append(p.inFlightAt, target)
	p.attempts++
	p.retryAt = time.Time{}
}

// ended records that an attempt at a target has ended.
func (p *part) ended(target string, o Outcome) {
	if i := slices.Index(p.inFlightAt, target); i >= 0 {
		p.inFlightAt = slices.Delete(p.inFlightAt, i, i+1)
	}
	p.reachedTarget = p.reachedTarget || o != NotSent
}

// ran records that the part has run or may have run on a target.
func (p *part) ran(target string) {
	if !slices.Contains(p.ranOn, target) {
		p.ranOn = append(p.ranOn, target)
	}
}

// mayRunOn returns the number of targets on which the part has run or may run by the
// attempts in flight.
func (p *part) mayRunOn() int {
	n := len(p.ranOn)
	for _, target := range p.inFlightAt {
		if !slices.Contains(p.ranOn, target) {
			n++
		}
	}
	return n
}

// idleRanOn returns the targets on which the part has run and where no attempt of it is
// in flight.
func (p *part) idleRanOn() []string {
	var idle []string
	for _, target := range p.ranOn {
		if !slices.Contains(p.inFlightAt, target) {
			idle = append(idle, target)
		}
	}
	return idle
}

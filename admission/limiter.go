package admission

import "time"

// Parameters of the limiter.
const (
	// minAdmitted is the number of queries that are always admitted.
	minAdmitted = 1
	// initialLimit is the limit before any query has completed.
	initialLimit = 8
	// decreaseFactor is the factor by which overload lowers the limit.
	decreaseFactor = 0.8
	// A query that took less than increaseBelow of the time available to it allows the
	// limit to rise; one that took more than decreaseAbove lowers it.
	increaseBelow = 0.5
	decreaseAbove = 0.7
	// lowPriorityFraction is the fraction of the limit that low-priority queries are
	// allowed to fill. One in lowPriorityFullEvery of them is allowed to fill all of
	// it, so that they are not starved.
	lowPriorityFraction  = 0.75
	lowPriorityFullEvery = 3
)

// Result describes how an admitted query ended.
type Result struct {
	// TimeFraction is the fraction of the time available to the query that it took,
	// from 0 to 1.
	TimeFraction float64
	// LostParts reports whether parts of the query were lost to full queues or to
	// deadlines.
	LostParts bool
}

// Limiter bounds the number of queries in flight by slow start, additive increase and
// multiplicative decrease: V. Jacobson, "Congestion Avoidance and Control", SIGCOMM
// 1988. A query that took most of the time available to it lowers the limit in the same
// way as one that lost parts, so that the limit converges before parts are lost. Call
// Reset before use. A Limiter is not safe for concurrent use.
type Limiter struct {
	maxLimit         float64
	limit            float64
	inFlight         int
	lastDecrease     time.Time
	decreaseInterval time.Duration
	slowStartDone    bool
	// lowPrioritySeen counts the low-priority queries, admitted or not.
	lowPrioritySeen int
}

// Reset empties the limiter and sets the maximum of its limit. The limit is lowered at
// most once in each interval.
func (l *Limiter) Reset(maximum int, interval time.Duration) {
	m := float64(max(maximum, minAdmitted))
	*l = Limiter{maxLimit: m, limit: min(m, initialLimit), decreaseInterval: interval}
}

// Limit returns the number of queries that are allowed in flight now.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the number of queries in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// TryAcquire admits a query if the limit allows it, and reports whether it did.
func (l *Limiter) TryAcquire() bool { return l.TryAcquireFraction(1) }

// TryAcquireFraction admits a query if fewer than the given fraction of the limit are
// in flight, and reports whether it did. A fraction below 1 keeps capacity for other
// queries; one above 1 exceeds the limit.
func (l *Limiter) TryAcquireFraction(fraction float64) bool {
	if l.inFlight >= max(minAdmitted, int(l.limit*fraction)) {
		return false
	}
	l.inFlight++
	return true
}

// TryAcquireLowPriority is TryAcquireFraction for a low-priority query. It leaves a
// part of the limit to other queries, except for one low-priority query in
// lowPriorityFullEvery, so that low-priority queries are not starved.
func (l *Limiter) TryAcquireLowPriority(fraction float64) bool {
	l.lowPrioritySeen++
	if l.lowPrioritySeen%lowPriorityFullEvery != 0 {
		fraction *= lowPriorityFraction
	}
	return l.TryAcquireFraction(fraction)
}

// Cancel ends an admitted query without adjusting the limit.
func (l *Limiter) Cancel() { l.inFlight-- }

// Release ends an admitted query and adjusts the limit to its result.
func (l *Limiter) Release(now time.Time, r Result) {
	utilised := float64(l.inFlight) >= l.limit/2
	l.inFlight--
	switch {
	case r.LostParts || r.TimeFraction > decreaseAbove:
		if now.Sub(l.lastDecrease) >= l.decreaseInterval {
			l.limit = max(minAdmitted, l.limit*decreaseFactor)
			l.lastDecrease = now
		}
		l.slowStartDone = true
	case !utilised || r.TimeFraction > increaseBelow:
	case l.slowStartDone:
		l.limit = min(l.maxLimit, l.limit+1/l.limit)
	default:
		l.limit = min(l.maxLimit, l.limit+1)
	}
}

package admission

import "time"

// Constants of the limiter.
const (
	// minAdmitted is the number of queries that are always admitted.
	minAdmitted = 1
	// initialLimit is the number admitted before anything is known.
	initialLimit = 8
	// decreaseFactor is the factor by which overload lowers the limit.
	decreaseFactor = 0.8
	// increaseBelow and slow are the parts of its time that a query takes, below which
	// the limit may rise and above which it is lowered.
	increaseBelow = 0.5
	decreaseAbove = 0.7
	// lowPriorityFraction is the part of the room that less urgent queries may fill, and
	// behindTurn says which of them may fill all of it: one in so many.
	lowPriorityFraction  = 0.75
	lowPriorityFullEvery = 3
)

// Ending is how a query ended.
type Ending struct {
	// Used is the part of its time that the query took, from 0 to 1.
	Used float64
	// Lost says that it lost parts to full queues or to deadlines.
	Lost bool
}

// Limiter bounds the queries under way by slow start, additive increase and
// multiplicative decrease: V. Jacobson, "Congestion Avoidance and Control",
// SIGCOMM 1988. A query that took most of its time lowers the limit as one that
// lost parts does, so that the limit settles before parts are lost. Reset it
// before use. It is not safe for use by several goroutines.
type Limiter struct {
	maxLimit         float64
	limit            float64
	inFlight         int
	lastDecrease     time.Time
	decreaseInterval time.Duration
	slowStartDone    bool
	// lowPrioritySeen counts the less urgent queries.
	lowPrioritySeen int
}

// Reset sets the most queries that may be under way. The limit is lowered at
// most once a period.
func (l *Limiter) Reset(most int, period time.Duration) {
	m := float64(max(most, minAdmitted))
	*l = Limiter{maxLimit: m, limit: min(m, initialLimit), decreaseInterval: period}
}

// Limit returns the queries that may be under way now.
func (l *Limiter) Limit() int { return int(l.limit) }

// Running returns the queries under way.
func (l *Limiter) Running() int { return l.inFlight }

// Enter admits a query and reports whether there was room.
func (l *Limiter) Enter() bool { return l.EnterWithin(1) }

// EnterWithin admits a query if fewer are under way than the given part of the limit,
// and reports whether it did. A part below 1 keeps room for others, one above 1 goes
// beyond the limit.
func (l *Limiter) EnterWithin(part float64) bool {
	if l.inFlight >= max(minAdmitted, int(l.limit*part)) {
		return false
	}
	l.inFlight++
	return true
}

// EnterBehind is EnterWithin for a query that is less urgent than others: it leaves
// them a part of the room, except in its turn, so that its kind is not starved.
func (l *Limiter) EnterBehind(part float64) bool {
	l.lowPrioritySeen++
	if l.lowPrioritySeen%lowPriorityFullEvery != 0 {
		part *= lowPriorityFraction
	}
	return l.EnterWithin(part)
}

// Leave ends an admitted query.
func (l *Limiter) Leave(now time.Time, e Ending) {
	busy := float64(l.inFlight) >= l.limit/2
	l.inFlight--
	switch {
	case e.Lost || e.Used > decreaseAbove:
		if now.Sub(l.lastDecrease) >= l.decreaseInterval {
			l.limit = max(minAdmitted, l.limit*decreaseFactor)
			l.lastDecrease = now
		}
		l.slowStartDone = true
	case !busy || e.Used > increaseBelow:
	case l.slowStartDone:
		l.limit = min(l.maxLimit, l.limit+1/l.limit)
	default:
		l.limit = min(l.maxLimit, l.limit+1)
	}
}

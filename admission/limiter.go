package admission

import "time"

// Constants of the limiter.
const (
	// least is the number of queries that are always admitted.
	least = 1
	// first is the number admitted before anything is known.
	first = 8
	// cut is the factor by which overload lowers the limit.
	cut = 0.8
	// quick and slow are the parts of its time that a query takes, below which
	// the limit may rise and above which it is lowered.
	quick = 0.5
	slow  = 0.7
	// behindPart is the part of the room that less urgent queries may fill, and
	// behindTurn says which of them may fill all of it: one in so many.
	behindPart = 0.75
	behindTurn = 3
)

// Result is how a query ended.
type Result struct {
	// TimeFraction is the part of its time that the query took, from 0 to 1.
	TimeFraction float64
	// LostParts says that it lost parts to full queues or to deadlines.
	LostParts bool
}

// Limiter bounds the queries under way by slow start, additive increase and
// multiplicative decrease: V. Jacobson, "Congestion Avoidance and Control",
// SIGCOMM 1988. A query that took most of its time lowers the limit as one that
// lost parts does, so that the limit settles before parts are lost. Reset it
// before use. It is not safe for use by several goroutines.
type Limiter struct {
	most    float64
	limit   float64
	running int
	lastCut time.Time
	period  time.Duration
	settled bool
	// behind counts the less urgent queries.
	behind int
}

// Reset sets the most queries that may be under way. The limit is lowered at
// most once a period.
func (l *Limiter) Reset(most int, period time.Duration) {
	m := float64(max(most, least))
	*l = Limiter{most: m, limit: min(m, first), period: period}
}

// Limit returns the queries that may be under way now.
func (l *Limiter) Limit() int { return int(l.limit) }

// InFlight returns the queries under way.
func (l *Limiter) InFlight() int { return l.running }

// TryAcquire admits a query and reports whether there was room.
func (l *Limiter) TryAcquire() bool { return l.TryAcquireFraction(1) }

// TryAcquireFraction admits a query if fewer are under way than the given part of the limit,
// and reports whether it did. A part below 1 keeps room for others, one above 1 goes
// beyond the limit.
func (l *Limiter) TryAcquireFraction(part float64) bool {
	if l.running >= max(least, int(l.limit*part)) {
		return false
	}
	l.running++
	return true
}

// TryAcquireLowPriority is EnterWithin for a query that is less urgent than others: it leaves
// them a part of the room, except in its turn, so that its kind is not starved.
func (l *Limiter) TryAcquireLowPriority(part float64) bool {
	l.behind++
	if l.behind%behindTurn != 0 {
		part *= behindPart
	}
	return l.TryAcquireFraction(part)
}

// Release ends an admitted query.
func (l *Limiter) Release(now time.Time, e Result) {
	busy := float64(l.running) >= l.limit/2
	l.running--
	switch {
	case e.LostParts || e.TimeFraction > slow:
		if now.Sub(l.lastCut) >= l.period {
			l.limit = max(least, l.limit*cut)
			l.lastCut = now
		}
		l.settled = true
	case !busy || e.TimeFraction > quick:
	case l.settled:
		l.limit = min(l.most, l.limit+1/l.limit)
	default:
		l.limit = min(l.most, l.limit+1)
	}
}

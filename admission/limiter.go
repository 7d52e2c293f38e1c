package admission

import "time"

// Constants of the limiter.
const (
	// least is the number of queries that are always admitted.
	least = 4
	// first is the number admitted before anything is known.
	first = 8
	// cut is the factor by which overload lowers the limit.
	cut = 0.9
)

// Limiter bounds the queries under way by slow start, additive increase and
// multiplicative decrease: V. Jacobson, "Congestion Avoidance and Control",
// SIGCOMM 1988. Reset it before use. It is not safe for use by several
// goroutines.
type Limiter struct {
	most    float64
	limit   float64
	running int
	lastCut time.Time
	period  time.Duration
	cut     bool
}

// Reset sets the most queries that may be under way. The limit is lowered at
// most once a period.
func (l *Limiter) Reset(most int, period time.Duration) {
	*l = Limiter{most: float64(max(most, least)), limit: float64(min(max(most, least), first)), period: period}
}

// Limit returns the queries that may be under way now.
func (l *Limiter) Limit() int { return int(l.limit) }

// Running returns the queries under way.
func (l *Limiter) Running() int { return l.running }

// Enter admits a query and reports whether there was room.
func (l *Limiter) Enter() bool {
	if l.running >= int(l.limit) {
		return false
	}
	l.running++
	return true
}

// Leave ends an admitted query. Overloaded says that the query lost parts to
// full queues or to deadlines.
func (l *Limiter) Leave(now time.Time, overloaded bool) {
	busy := float64(l.running) >= l.limit/2
	l.running--
	switch {
	case overloaded && now.Sub(l.lastCut) >= l.period:
		l.limit = max(least, l.limit*cut)
		l.lastCut = now
		l.cut = true
	case !overloaded && busy && !l.cut:
		l.limit = min(l.most, l.limit+1)
	case !overloaded && busy:
		l.limit = min(l.most, l.limit+1/l.limit)
	}
}

package target

import (
	"time"

	"fescuerill/internal/invariant"
)

// Parameters of the limiter.
const (
	// ExpiryMargin is the time after the deadline sent with an exchange at which its
	// slot is freed if the end of the exchange was not observed.
	ExpiryMargin = 100 * time.Millisecond
	// latencyJumpFactor, times the typical latency, is the latency above which an
	// exchange shows that the target has turned cold.
	latencyJumpFactor = 12
	// minJumpLatency is the minimum latency that shows that a target has turned cold.
	minJumpLatency = 40 * time.Millisecond
	// latencyWeight is the weight of a new sample in the typical latency.
	latencyWeight = 0.1
	// overloadBackoff is the time for which a report of overload halves the batch size.
	overloadBackoff = 200 * time.Millisecond
)

// Limits describes the capacity of a target.
type Limits struct {
	// Slots is the maximum number of exchanges in flight with a warm target.
	Slots int
	// Batch is the maximum number of parts of an exchange with a warm target.
	Batch int
	// ColdSlots and ColdBatch are the same for a cold target.
	ColdSlots, ColdBatch int
	// ExchangesPerSlot is the number of completed exchanges that raise the limit of a
	// cold or warming target by one slot.
	ExchangesPerSlot int
}

// Share determines how much of a target its owner is allowed to use.
type Share int

// Shares of a target. The zero value is ShareNone.
const (
	// ShareNone allows no slots.
	ShareNone Share = iota
	// ShareHalf allows half of the slots, rounded down, while the target is warm, and
	// none while it is not.
	ShareHalf
	// ShareRemainder allows the slots that ShareHalf leaves, from a cold start on.
	ShareRemainder
	// ShareFull allows all slots.
	ShareFull
)

// Report is what a target reports about itself.
type Report struct {
	Incarnation string
	State       State
	// Load is the share of its slots in use; above 1 the target is overloaded.
	Load float64
}

type slot struct {
	startedAt  time.Time
	endsBy     time.Time
	generation int
}

// Limiter counts the slots of a target. Call Reset before use.
type Limiter struct {
	limits      Limits
	state       State
	share       Share
	incarnation string
	reported    State
	completed   int
	// generation increases whenever the target becomes cold, leaving or unreachable. An
	// exchange of an earlier generation does not warm up the target.
	generation      int
	lastID          uint64
	slots           map[uint64]slot
	typicalLatency  time.Duration
	overloadedUntil time.Time
	coldCause       ColdCause
}

// Reset sets the limits and puts the target in the initial state: cold, with an unknown
// incarnation. Slots in use stay in use. It panics with ErrLimits when a limit is not
// positive.
func (l *Limiter) Reset(limits Limits) {
	l.SetLimits(limits)
	l.state = Cold
	l.incarnation = ""
	l.turnCold(ColdCauseNone)
}

// SetLimits changes the limits. It panics with ErrLimits when one is not positive.
func (l *Limiter) SetLimits(limits Limits) {
	if limits.Slots <= 0 || limits.Batch <= 0 || limits.ColdSlots <= 0 || limits.ColdBatch <= 0 || limits.ExchangesPerSlot <= 0 {
		panic(ErrLimits)
	}
	l.limits = limits
	if l.slots == nil {
		l.slots = map[uint64]slot{}
	}
}

// SetShare sets how much of the target its owner is allowed to use.
func (l *Limiter) SetShare(s Share) { l.share = s }

// Share returns how much of the target its owner is allowed to use.
func (l *Limiter) Share() Share { return l.share }

// State returns the state of the target.
func (l *Limiter) State() State { return l.state }

// Incarnation returns the last known incarnation of the target, or "".
func (l *Limiter) Incarnation() string { return l.incarnation }

// Completed returns the number of exchanges completed since the target was last cold.
func (l *Limiter) Completed() int { return l.completed }

// SlotsInUse returns the number of slots in use.
func (l *Limiter) SlotsInUse() int { return len(l.slots) }

// TypicalLatency returns the typical latency of an exchange, 0 when it is unknown.
func (l *Limiter) TypicalLatency() time.Duration { return l.typicalLatency }

// TakeColdCause returns why the target was last turned cold and clears the cause.
func (l *Limiter) TakeColdCause() ColdCause {
	cause := l.coldCause
	l.coldCause = ColdCauseNone
	return cause
}

// AllowedSlots returns the maximum number of slots in use.
func (l *Limiter) AllowedSlots() int {
	slots := 0
	switch l.state {
	case Leaving, Unreachable:
		return 0
	case Cold, Warming:
		slots = l.rampSlots()
	case Warm:
		slots = l.limits.Slots
	}
	half := l.limits.Slots / 2
	switch l.share {
	case ShareFull:
		return slots
	case ShareRemainder:
		return min(slots, l.limits.Slots-half)
	case ShareHalf:
		if l.state == Warm {
			return half
		}
	}
	return 0
}

// rampSlots returns the slots of a cold or warming target, which increase with its
// completed exchanges.
func (l *Limiter) rampSlots() int {
	return min(l.limits.Slots, l.limits.ColdSlots+l.completed/l.limits.ExchangesPerSlot)
}

// FreeSlots returns the number of slots that can be acquired now.
func (l *Limiter) FreeSlots() int { return max(0, l.AllowedSlots()-len(l.slots)) }

// BatchSize returns the maximum number of parts of the next exchange.
func (l *Limiter) BatchSize(now time.Time) int {
	n := l.limits.Batch
	switch {
	case l.state == Warm:
	case l.rampSlots() >= l.limits.Slots:
		n = max(l.limits.ColdBatch, n/2)
	default:
		n = l.limits.ColdBatch
	}
	if now.Before(l.overloadedUntil) {
		n = max(1, n/2)
	}
	return n
}

// Acquire takes a slot for an exchange that the target abandons at the time until. It
// reports whether a slot was free.
func (l *Limiter) Acquire(now, until time.Time) (id uint64, ok bool) {
	l.ExpireSlots(now)
	if l.FreeSlots() == 0 {
		return 0, false
	}
	l.lastID++
	l.slots[l.lastID] = slot{startedAt: now, endsBy: until, generation: l.generation}
	if l.state != Warm {
		invariant.Check(len(l.slots) <= l.rampSlots(), "cold-target-within-slots", "taken", len(l.slots), "bears", l.rampSlots())
	}
	invariant.Check(len(l.slots) <= l.limits.Slots, "target-within-slots", "taken", len(l.slots))
	return l.lastID, true
}

// Complete ends an exchange that the target has answered with a report. ranToEnd is
// false if the exchange was cancelled or reached its deadline; it then does not warm up
// the target.
func (l *Limiter) Complete(now time.Time, id uint64, r Report, ranToEnd bool) {
	s, ok := l.slots[id]
	delete(l.slots, id)
	l.HandleReport(now, r)
	if !ok || s.generation != l.generation || !ranToEnd {
		return
	}
	latency := now.Sub(s.startedAt)
	if l.state == Warm && l.typicalLatency > 0 && latency > max(minJumpLatency, latencyJumpFactor*l.typicalLatency) {
		l.turnCold(ColdCauseLatency)
		return
	}
	l.typicalLatency = smooth(l.typicalLatency, latency)
	l.countCompleted()
}

func smooth(typical, latency time.Duration) time.Duration {
	if typical == 0 {
		return latency
	}
	return typical + time.Duration(latencyWeight*float64(latency-typical))
}

// countCompleted counts a completed exchange and updates the state.
func (l *Limiter) countCompleted() {
	l.completed++
	switch {
	case l.state != Cold && l.state != Warming:
	case l.completed >= l.warmThreshold():
		l.state = Warm
	default:
		l.state = Warming
	}
}

// warmThreshold returns the number of completed exchanges after which a target is warm.
func (l *Limiter) warmThreshold() int {
	return (l.limits.Slots - l.limits.ColdSlots + 2) * l.limits.ExchangesPerSlot
}

// HandleShed ends an exchange that the target refused to run.
func (l *Limiter) HandleShed(now time.Time, id uint64, r Report) {
	delete(l.slots, id)
	l.HandleReport(now, r)
	if l.state == Warm || l.state == Warming {
		l.turnCold(ColdCauseShed)
	}
}

// ConnectionBroken records that the connection of an exchange was reset or closed as
// unusable. The exchange may still run, so its slot stays in use; the target is turned
// cold.
func (l *Limiter) ConnectionBroken() {
	if l.state == Warm || l.state == Warming {
		l.turnCold(ColdCauseReset)
	}
}

// Release frees the slot of an exchange that was never sent.
func (l *Limiter) Release(id uint64) { delete(l.slots, id) }

// ConnectFailed frees the slot of an exchange that was not sent because the target did
// not accept a connection, and marks the target as unreachable.
func (l *Limiter) ConnectFailed(id uint64) {
	delete(l.slots, id)
	l.MarkUnreachable()
}

// MarkUnreachable records that the target does not accept connections.
func (l *Limiter) MarkUnreachable() {
	if l.state != Leaving {
		l.state = Unreachable
		l.completed = 0
		l.generation++
	}
}

// HandleReport applies a report of the target. A report can lower the limit but never
// raise it, with one exception: a target that was unreachable or leaving is cold again.
func (l *Limiter) HandleReport(now time.Time, r Report) {
	newIncarnation := r.Incarnation != l.incarnation
	l.incarnation, l.reported = r.Incarnation, r.State
	if r.Load > 1 {
		l.overloadedUntil = now.Add(overloadBackoff)
	}
	switch {
	case r.State == Leaving:
		l.state = Leaving
		l.generation++
	case l.state == Unreachable || l.state == Leaving:
		l.turnCold(ColdCauseReturned)
	case newIncarnation:
		l.turnCold(ColdCauseIncarnation)
	case r.State < l.state:
		// A target that turned cold may report that it is warming again because of
		// exchanges that were in flight at that time.
		l.turnCold(ColdCauseReported)
	}
}

// RestoreState sets the state that the previous owner of the target observed. It is
// ignored if it is Leaving or Unreachable, if it belongs to another incarnation than
// the one known, or if the target itself has reported a colder state.
func (l *Limiter) RestoreState(incarnation string, s State, completed int) {
	if s == Leaving || s == Unreachable {
		return
	}
	if l.incarnation != "" && (incarnation != l.incarnation || l.reported < s) {
		return
	}
	l.incarnation = incarnation
	l.state = s
	l.completed = max(0, completed)
}

// ReturnToService turns the target cold after it was out of service.
func (l *Limiter) ReturnToService() { l.turnCold(ColdCauseReturned) }

// turnCold turns the target cold. Exchanges that began earlier do not count as
// completed since.
func (l *Limiter) turnCold(cause ColdCause) {
	l.state = Cold
	l.completed = 0
	l.typicalLatency = 0
	l.generation++
	if cause != ColdCauseNone {
		l.coldCause = cause
	}
}

// ExpireSlots frees the slots of exchanges that have certainly ended and returns their
// number.
func (l *Limiter) ExpireSlots(now time.Time) int {
	n := 0
	for id, s := range l.slots {
		if now.After(s.endsBy.Add(ExpiryMargin)) {
			delete(l.slots, id)
			n++
		}
	}
	return n
}

// NextExpiry returns when the next slot expires, or the zero time when none is in use.
func (l *Limiter) NextExpiry() time.Time {
	var next time.Time
	for _, s := range l.slots {
		at := s.endsBy.Add(ExpiryMargin)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

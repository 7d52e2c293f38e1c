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

// Shares of a target. The zero Share is none.
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
	Load        float64
}

type slot struct {
	startedAt  time.Time
	endsBy     time.Time
	generation int
}

// Limiter counts the slots of a target. Call Reset before use.
type Limiter struct {
	limits          Limits
	state           State
	share           Share
	incarnation     string
	reported        State
	completed       int
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
func (g *Limiter) Reset(l Limits) {
	g.SetLimits(l)
	g.state = Cold
	g.incarnation = ""
	g.turnCold(ColdCauseNone)
}

// SetLimits changes the limits. It panics with ErrLimits when one is not positive.
func (g *Limiter) SetLimits(l Limits) {
	if l.Slots <= 0 || l.Batch <= 0 || l.ColdSlots <= 0 || l.ColdBatch <= 0 || l.ExchangesPerSlot <= 0 {
		panic(ErrLimits)
	}
	g.limits = l
	if g.slots == nil {
		g.slots = map[uint64]slot{}
	}
}

// SetShare sets how much of the target its owner is allowed to use.
func (g *Limiter) SetShare(s Share) { g.share = s }

// Share returns how much of the target its owner is allowed to use.
func (g *Limiter) Share() Share { return g.share }

// State returns the state of the target.
func (g *Limiter) State() State { return g.state }

// Incarnation returns the last known incarnation of the target, or "".
func (g *Limiter) Incarnation() string { return g.incarnation }

// Completed returns the number of exchanges completed since the target was last cold.
func (g *Limiter) Completed() int { return g.completed }

// SlotsInUse returns the number of slots in use.
func (g *Limiter) SlotsInUse() int { return len(g.slots) }

// TypicalLatency returns the typical latency of an exchange, 0 when it is unknown.
func (g *Limiter) TypicalLatency() time.Duration { return g.typicalLatency }

// TakeColdCause returns why the target was last turned cold and clears the cause.
func (g *Limiter) TakeColdCause() ColdCause {
	cause := g.coldCause
	g.coldCause = ColdCauseNone
	return cause
}

// AllowedSlots returns the maximum number of slots in use.
func (g *Limiter) AllowedSlots() int {
	earned := 0
	switch g.state {
	case Leaving, Unreachable:
		return 0
	case Cold, Warming:
		earned = g.rampSlots()
	case Warm:
		earned = g.limits.Slots
	}
	half := g.limits.Slots / 2
	switch g.share {
	case ShareFull:
		return earned
	case ShareRemainder:
		return min(earned, g.limits.Slots-half)
	case ShareHalf:
		if g.state == Warm {
			return half
		}
	}
	return 0
}

// rampSlots returns the slots of a cold or warming target, which increase with its
// completed exchanges.
func (g *Limiter) rampSlots() int {
	return min(g.limits.Slots, g.limits.ColdSlots+g.completed/g.limits.ExchangesPerSlot)
}

// FreeSlots returns the number of slots that can be acquired now.
func (g *Limiter) FreeSlots() int { return max(0, g.AllowedSlots()-len(g.slots)) }

// BatchSize returns the maximum number of parts of the next exchange.
func (g *Limiter) BatchSize(now time.Time) int {
	n := g.limits.Batch
	switch {
	case g.state == Warm:
	case g.rampSlots() >= g.limits.Slots:
		n = max(g.limits.ColdBatch, n/2)
	default:
		n = g.limits.ColdBatch
	}
	if now.Before(g.overloadedUntil) {
		n = max(1, n/2)
	}
	return n
}

// Acquire takes a slot for an exchange that the target abandons at the time until. It
// reports whether a slot was free.
func (g *Limiter) Acquire(now, until time.Time) (id uint64, ok bool) {
	g.ExpireSlots(now)
	if g.FreeSlots() == 0 {
		return 0, false
	}
	g.lastID++
	g.slots[g.lastID] = slot{startedAt: now, endsBy: until, generation: g.generation}
	if g.state != Warm {
		invariant.Check(len(g.slots) <= g.rampSlots(), "cold-target-within-slots", "taken", len(g.slots), "bears", g.rampSlots())
	}
	invariant.Check(len(g.slots) <= g.limits.Slots, "target-within-slots", "taken", len(g.slots))
	return g.lastID, true
}

// Complete ends an exchange that the target has answered with a report. Worked is set
// if the exchange ran to its end: one that was cancelled or reached its deadline does
// not warm up the target.
func (g *Limiter) Complete(now time.Time, id uint64, r Report, worked bool) {
	s, ok := g.slots[id]
	delete(g.slots, id)
	g.HandleReport(now, r)
	if !ok || s.generation != g.generation || !worked {
		return
	}
	latency := now.Sub(s.startedAt)
	if g.state == Warm && g.typicalLatency > 0 && latency > max(minJumpLatency, latencyJumpFactor*g.typicalLatency) {
		g.turnCold(ColdCauseLatency)
		return
	}
	g.typicalLatency = smooth(g.typicalLatency, latency)
	g.countCompleted()
}

func smooth(typical, latency time.Duration) time.Duration {
	if typical == 0 {
		return latency
	}
	return typical + time.Duration(latencyWeight*float64(latency-typical))
}

// countCompleted counts a completed exchange and updates the state.
func (g *Limiter) countCompleted() {
	g.completed++
	switch {
	case g.state != Cold && g.state != Warming:
	case g.completed >= g.warmThreshold():
		g.state = Warm
	default:
		g.state = Warming
	}
}

// warmThreshold returns the number of completed exchanges after which a target is warm.
func (g *Limiter) warmThreshold() int {
	return (g.limits.Slots - g.limits.ColdSlots + 2) * g.limits.ExchangesPerSlot
}

// HandleShed ends an exchange that the target refused to run.
func (g *Limiter) HandleShed(now time.Time, id uint64, r Report) {
	delete(g.slots, id)
	g.HandleReport(now, r)
	if g.state == Warm || g.state == Warming {
		g.turnCold(ColdCauseShed)
	}
}

// ConnectionBroken records that the connection of an exchange was reset or condemned.
// The exchange may still run, so its slot stays in use; the target is turned cold.
func (g *Limiter) ConnectionBroken() {
	if g.state == Warm || g.state == Warming {
		g.turnCold(ColdCauseReset)
	}
}

// Release frees the slot of an exchange that was never sent.
func (g *Limiter) Release(id uint64) { delete(g.slots, id) }

// ConnectFailed frees the slot of an exchange of which no byte was sent because the
// target did not accept a connection, and marks the target as unreachable.
func (g *Limiter) ConnectFailed(id uint64) {
	delete(g.slots, id)
	g.MarkUnreachable()
}

// MarkUnreachable records that the target does not accept connections.
func (g *Limiter) MarkUnreachable() {
	if g.state != Leaving {
		g.state = Unreachable
		g.completed = 0
		g.generation++
	}
}

// HandleReport applies a report of the target. A report can lower the limit but never
// raise it, with one exception: a target that was unreachable or leaving is cold again.
func (g *Limiter) HandleReport(now time.Time, r Report) {
	newIncarnation := r.Incarnation != g.incarnation
	g.incarnation, g.reported = r.Incarnation, r.State
	if r.Load > 1 {
		g.overloadedUntil = now.Add(overloadBackoff)
	}
	switch {
	case r.State == Leaving:
		g.state = Leaving
		g.generation++
	case g.state == Unreachable || g.state == Leaving:
		g.turnCold(ColdCauseReturned)
	case newIncarnation:
		g.turnCold(ColdCauseIncarnation)
	case r.State < g.state:
		// A target that turned cold may report that it is warming again because of
		// exchanges that were in flight at that time.
		// A target that turned cold may say that it is warming again, for work
		// that was under way when it turned.
		g.turnCold(ColdCauseReported)
	}
}

// RestoreState sets the state that the previous owner of the target observed. It is
// ignored if it is Leaving or Unreachable, if it belongs to another incarnation than
// the one known, or if the target itself has reported a colder state.
func (g *Limiter) RestoreState(incarnation string, s State, completed int) {
	if s == Leaving || s == Unreachable {
		return
	}
	if g.incarnation != "" && (incarnation != g.incarnation || g.reported < s) {
		return
	}
	g.incarnation = incarnation
	g.state = s
	g.completed = max(0, completed)
}

// ReturnToService turns the target cold after it was out of service.
func (g *Limiter) ReturnToService() { g.turnCold(ColdCauseReturned) }

// turnCold turns the target cold. Exchanges that began earlier do not count as
// completed since.
func (g *Limiter) turnCold(cause ColdCause) {
	g.state = Cold
	g.completed = 0
	g.typicalLatency = 0
	g.generation++
	if cause != ColdCauseNone {
		g.coldCause = cause
	}
}

// ExpireSlots frees the slots of exchanges that have certainly ended and returns their
// number.
func (g *Limiter) ExpireSlots(now time.Time) int {
	n := 0
	for id, s := range g.slots {
		if now.After(s.endsBy.Add(ExpiryMargin)) {
			delete(g.slots, id)
			n++
		}
	}
	return n
}

// NextExpiry returns when the next slot expires, or the zero time when none is in use.
func (g *Limiter) NextExpiry() time.Time {
	var next time.Time
	for _, s := range g.slots {
		at := s.endsBy.Add(ExpiryMargin)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

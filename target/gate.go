package target

import (
	"time"

	"fescuerill/internal/invariant"
)

// Constants of the gate.
const (
	// ExpiryMargin is added to the deadline sent with an exchange before the slot of
	// an exchange whose end was not seen counts as free.
	ExpiryMargin = 100 * time.Millisecond
	// latencyJump is the factor over the usual latency at which an exchange is
	// a sign that the target has turned cold.
	latencyJump = 12
	// latencyFloor is the least latency that can be such a sign.
	latencyFloor = 40 * time.Millisecond
	// latencyWeight is the weight of a new sample in the usual latency.
	latencyWeight = 0.1
	// pressTime is how long a report of full load halves the batch.
	pressTime = 200 * time.Millisecond
)

// Limits is what a target bears.
type Limits struct {
	// Slots is the number of exchanges that a warm target runs at once.
	Slots int
	// Batch is the number of parts of an exchange with a warm target.
	Batch int
	// ColdSlots and ColdBatch are the same for a cold target.
	ColdSlots, ColdBatch int
	// ExchangesPerSlot is the number of completed exchanges that earn one more slot.
	ExchangesPerSlot int
}

// Share is how much of a target its holder may use.
type Share int

// Shares of a target. The zero Share is none.
const (
	// ShareNone lets nothing be sent.
	ShareNone Share = iota
	// ShareHalf lets half of the slots, rounded down, be used while the target
	// is warm, and nothing while it is not.
	ShareHalf
	// ShareRemainder lets the slots be used that ShareHalf leaves, from a cold
	// start on.
	ShareRemainder
	// ShareFull lets all be used.
	ShareFull
)

// Report is what a target says of itself.
type Report struct {
	Incarnation string
	State       State
	Load        float64
}

type slot struct {
	began time.Time
	until time.Time
	era   int
}

// Limiter counts the slots of a target. Reset it before use.
type Limiter struct {
	limits      Limits
	state       State
	share       Share
	incarnation string
	reported    State
	completed   int
	era         int
	last        uint64
	slots       map[uint64]slot
	usual       time.Duration
	pressed     time.Time
	turn        ColdCause
}

// Reset makes the gate that of a target of which nothing is known. Slots that
// are taken stay taken. It panics with ErrLimits when a limit is not positive.
func (g *Limiter) Reset(l Limits) {
	g.SetLimits(l)
	g.state = Cold
	g.incarnation = ""
	g.restart(ColdCauseNone)
}

// SetLimits changes the limits. It panics with ErrLimits when one is not
// positive.
func (g *Limiter) SetLimits(l Limits) {
	if l.Slots <= 0 || l.Batch <= 0 || l.ColdSlots <= 0 || l.ColdBatch <= 0 || l.ExchangesPerSlot <= 0 {
		panic(ErrLimits)
	}
	g.limits = l
	if g.slots == nil {
		g.slots = map[uint64]slot{}
	}
}

// SetShare sets how much of the target the holder may use.
func (g *Limiter) SetShare(s Share) { g.share = s }

// Share returns how much of the target the holder may use.
func (g *Limiter) Share() Share { return g.share }

// State returns how far the target is.
func (g *Limiter) State() State { return g.state }

// Incarnation returns the run of the target that the gate knows, or "".
func (g *Limiter) Incarnation() string { return g.incarnation }

// Completed returns the exchanges completed since the target was cold.
func (g *Limiter) Completed() int { return g.completed }

// SlotsInUse returns the number of slots that are taken.
func (g *Limiter) SlotsInUse() int { return len(g.slots) }

// TypicalLatency returns the usual latency of an exchange, 0 when none is known.
func (g *Limiter) TypicalLatency() time.Duration { return g.usual }

// TakeColdCause returns why the target was last taken for cold, once.
func (g *Limiter) TakeColdCause() ColdCause {
	t := g.turn
	g.turn = ColdCauseNone
	return t
}

// AllowedSlots returns the number of slots that may be taken in all.
func (g *Limiter) AllowedSlots() int {
	earned := 0
	switch g.state {
	case Leaving, Unreachable:
		return 0
	case Cold, Warming:
		earned = g.ramp()
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

func (g *Limiter) ramp() int {
	return min(g.limits.Slots, g.limits.ColdSlots+g.completed/g.limits.ExchangesPerSlot)
}

// FreeSlots returns the number of slots that may be taken now.
func (g *Limiter) FreeSlots() int { return max(0, g.AllowedSlots()-len(g.slots)) }

// BatchSize returns the number of parts that the next exchange may carry.
func (g *Limiter) BatchSize(now time.Time) int {
	n := g.limits.Batch
	switch {
	case g.state == Warm:
	case g.ramp() >= g.limits.Slots:
		n = max(g.limits.ColdBatch, n/2)
	default:
		n = g.limits.ColdBatch
	}
	if now.Before(g.pressed) {
		n = max(1, n/2)
	}
	return n
}

// Acquire takes a slot for an exchange that the target gives up at until. It
// reports whether there was one.
func (g *Limiter) Acquire(now, until time.Time) (id uint64, ok bool) {
	g.ExpireSlots(now)
	if g.FreeSlots() == 0 {
		return 0, false
	}
	g.last++
	g.slots[g.last] = slot{began: now, until: until, era: g.era}
	if g.state != Warm {
		invariant.Check(len(g.slots) <= g.ramp(), "cold-target-within-slots", "taken", len(g.slots), "bears", g.ramp())
	}
	invariant.Check(len(g.slots) <= g.limits.Slots, "target-within-slots", "taken", len(g.slots))
	return g.last, true
}

// Complete ends an exchange that the target has answered with a report. Worked
// says that it ran to its end: an exchange that was cancelled or met its
// deadline does not warm the target up.
func (g *Limiter) Complete(now time.Time, id uint64, r Report, worked bool) {
	s, ok := g.slots[id]
	delete(g.slots, id)
	g.HandleReport(now, r)
	if !ok || s.era != g.era || !worked {
		return
	}
	took := now.Sub(s.began)
	if g.state == Warm && g.usual > 0 && took > max(latencyFloor, latencyJump*g.usual) {
		g.restart(ColdCauseLatency)
		return
	}
	g.usual = smooth(g.usual, took)
	g.advance()
}

func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(latencyWeight*float64(took-usual))
}

// advance counts a completed exchange and moves the state on.
func (g *Limiter) advance() {
	g.completed++
	switch {
	case g.state != Cold && g.state != Warming:
	case g.completed >= g.fullAfter():
		g.state = Warm
	default:
		g.state = Warming
	}
}

// fullAfter returns the completed exchanges after which a target is warm.
func (g *Limiter) fullAfter() int {
	return (g.limits.Slots - g.limits.ColdSlots + 2) * g.limits.ExchangesPerSlot
}

// HandleShed ends an exchange that the target refused to run.
func (g *Limiter) HandleShed(now time.Time, id uint64, r Report) {
	delete(g.slots, id)
	g.HandleReport(now, r)
	if g.state == Warm || g.state == Warming {
		g.restart(ColdCauseShed)
	}
}

// ConnectionBroken notes that the connection of an exchange was reset or condemned. The
// exchange may still run, so its slot stays taken; the target is taken for
// cold.
func (g *Limiter) ConnectionBroken() {
	if g.state == Warm || g.state == Warming {
		g.restart(ColdCauseReset)
	}
}

// Release frees the slot of an exchange that was never sent.
func (g *Limiter) Release(id uint64) { delete(g.slots, id) }

// ConnectFailed frees the slot of an exchange of which no byte was sent, because the
// target did not accept a connection, and takes the target for lost.
func (g *Limiter) ConnectFailed(id uint64) {
	delete(g.slots, id)
	g.MarkUnreachable()
}

// MarkUnreachable notes that the target does not accept connections.
func (g *Limiter) MarkUnreachable() {
	if g.state != Leaving {
		g.state = Unreachable
		g.completed = 0
		g.era++
	}
}

// HandleReport takes a report. It may lower what the target is given, never raise
// it, but for one thing: a target that was lost is cold again.
func (g *Limiter) HandleReport(now time.Time, r Report) {
	fresh := r.Incarnation != g.incarnation
	g.incarnation, g.reported = r.Incarnation, r.State
	if r.Load > 1 {
		g.pressed = now.Add(pressTime)
	}
	switch {
	case r.State == Leaving:
		g.state = Leaving
		g.era++
	case g.state == Unreachable || g.state == Leaving:
		g.restart(ColdCauseReturned)
	case fresh:
		g.restart(ColdCauseIncarnation)
	case r.State < g.state:
		// A target that turned cold may say that it is warming again, for work
		// that was under way when it turned.
		g.restart(ColdCauseReported)
	}
}

// RestoreState takes the state that the last owner of the target had for it. It is
// believed only for the same incarnation of the target, and only if the target
// itself does not say that it is further from full work.
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

// ReturnToService takes the target for cold after it was out of service.
func (g *Limiter) ReturnToService() { g.restart(ColdCauseReturned) }

// restart takes the target for cold. Exchanges that began before do not count
// as work done since.
func (g *Limiter) restart(t ColdCause) {
	g.state = Cold
	g.completed = 0
	g.usual = 0
	g.era++
	if t != ColdCauseNone {
		g.turn = t
	}
}

// ExpireSlots frees the slots of exchanges that have surely ended by now, and
// returns how many.
func (g *Limiter) ExpireSlots(now time.Time) int {
	n := 0
	for id, s := range g.slots {
		if now.After(s.until.Add(ExpiryMargin)) {
			delete(g.slots, id)
			n++
		}
	}
	return n
}

// NextExpiry returns when the next slot expires, or the zero time when none is
// taken.
func (g *Limiter) NextExpiry() time.Time {
	var next time.Time
	for _, s := range g.slots {
		at := s.until.Add(ExpiryMargin)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

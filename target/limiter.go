package target

import (
	"time"

	"fescuerill/internal/invariant"
)

// Constants of the gate.
const (
	// Margin is added to the deadline sent with an exchange before the slot of
	// an exchange whose end was not seen counts as free.
	Margin = 100 * time.Millisecond
	// latencyJumpFactor is the factor over the usual latency at which an exchange is
	// a sign that the target has turned cold.
	latencyJumpFactor = 12
	// minJumpLatency is the least latency that can be such a sign.
	minJumpLatency = 40 * time.Millisecond
	// latencyWeight is the weight of a new sample in the usual latency.
	latencyWeight = 0.1
	// overloadBackoff is how long a report of full load halves the batch.
	overloadBackoff = 200 * time.Millisecond
)

// Limits is what a target bears.
type Limits struct {
	// Slots is the number of exchanges that a warm target runs at once.
	Slots int
	// Batch is the number of parts of an exchange with a warm target.
	Batch int
	// ColdSlots and ColdBatch are the same for a cold target.
	ColdSlots, ColdBatch int
	// WarmStep is the number of completed exchanges that earn one more slot.
	WarmStep int
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
	// ShareRest lets the slots be used that ShareHalf leaves, from a cold
	// start on.
	ShareRest
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
	startedAt  time.Time
	endsBy     time.Time
	generation int
}

// Gate counts the slots of a target. Reset it before use.
type Gate struct {
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
	coldCause       Turn
}

// Reset makes the gate that of a target of which nothing is known. Slots that
// are taken stay taken. It panics with ErrLimits when a limit is not positive.
func (g *Gate) Reset(l Limits) {
	g.SetLimits(l)
	g.state = Cold
	g.incarnation = ""
	g.turnCold(TurnNone)
}

// SetLimits changes the limits. It panics with ErrLimits when one is not
// positive.
func (g *Gate) SetLimits(l Limits) {
	if l.Slots <= 0 || l.Batch <= 0 || l.ColdSlots <= 0 || l.ColdBatch <= 0 || l.WarmStep <= 0 {
		panic(ErrLimits)
	}
	g.limits = l
	if g.slots == nil {
		g.slots = map[uint64]slot{}
	}
}

// SetShare sets how much of the target the holder may use.
func (g *Gate) SetShare(s Share) { g.share = s }

// Share returns how much of the target the holder may use.
func (g *Gate) Share() Share { return g.share }

// State returns how far the target is.
func (g *Gate) State() State { return g.state }

// Incarnation returns the run of the target that the gate knows, or "".
func (g *Gate) Incarnation() string { return g.incarnation }

// Completed returns the exchanges completed since the target was cold.
func (g *Gate) Completed() int { return g.completed }

// Taken returns the number of slots that are taken.
func (g *Gate) Taken() int { return len(g.slots) }

// Usual returns the usual latency of an exchange, 0 when none is known.
func (g *Gate) Usual() time.Duration { return g.typicalLatency }

// TakeTurn returns why the target was last taken for cold, once.
func (g *Gate) TakeTurn() Turn {
	t := g.coldCause
	g.coldCause = TurnNone
	return t
}

// Allowed returns the number of slots that may be taken in all.
func (g *Gate) Allowed() int {
	earned := 0
	switch g.state {
	case Leaving, Lost:
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
	case ShareRest:
		return min(earned, g.limits.Slots-half)
	case ShareHalf:
		if g.state == Warm {
			return half
		}
	}
	return 0
}

func (g *Gate) rampSlots() int {
	return min(g.limits.Slots, g.limits.ColdSlots+g.completed/g.limits.WarmStep)
}

// Free returns the number of slots that may be taken now.
func (g *Gate) Free() int { return max(0, g.Allowed()-len(g.slots)) }

// Batch returns the number of parts that the next exchange may carry.
func (g *Gate) Batch(now time.Time) int {
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

// Acquire takes a slot for an exchange that the target gives up at until. It
// reports whether there was one.
func (g *Gate) Acquire(now, until time.Time) (id uint64, ok bool) {
	g.Expire(now)
	if g.Free() == 0 {
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

// Complete ends an exchange that the target has answered with a report. Worked
// says that it ran to its end: an exchange that was cancelled or met its
// deadline does not warm the target up.
func (g *Gate) Complete(now time.Time, id uint64, r Report, worked bool) {
	s, ok := g.slots[id]
	delete(g.slots, id)
	g.Heard(now, r)
	if !ok || s.generation != g.generation || !worked {
		return
	}
	took := now.Sub(s.startedAt)
	if g.state == Warm && g.typicalLatency > 0 && took > max(minJumpLatency, latencyJumpFactor*g.typicalLatency) {
		g.turnCold(TurnLatency)
		return
	}
	g.typicalLatency = smooth(g.typicalLatency, took)
	g.countCompleted()
}

func smooth(usual, took time.Duration) time.Duration {
	if usual == 0 {
		return took
	}
	return usual + time.Duration(latencyWeight*float64(took-usual))
}

// countCompleted counts a completed exchange and moves the state on.
func (g *Gate) countCompleted() {
	g.completed++
	switch {
	case g.state != Cold && g.state != Warming:
	case g.completed >= g.warmThreshold():
		g.state = Warm
	default:
		g.state = Warming
	}
}

// warmThreshold returns the completed exchanges after which a target is warm.
func (g *Gate) warmThreshold() int {
	return (g.limits.Slots - g.limits.ColdSlots + 2) * g.limits.WarmStep
}

// Shed ends an exchange that the target refused to run.
func (g *Gate) Shed(now time.Time, id uint64, r Report) {
	delete(g.slots, id)
	g.Heard(now, r)
	if g.state == Warm || g.state == Warming {
		g.turnCold(TurnShed)
	}
}

// Broken notes that the connection of an exchange was reset or condemned. The
// exchange may still run, so its slot stays taken; the target is taken for
// cold.
func (g *Gate) Broken() {
	if g.state == Warm || g.state == Warming {
		g.turnCold(TurnReset)
	}
}

// Release frees the slot of an exchange that was never sent.
func (g *Gate) Release(id uint64) { delete(g.slots, id) }

// Unsent frees the slot of an exchange of which no byte was sent, because the
// target did not accept a connection, and takes the target for lost.
func (g *Gate) Unsent(id uint64) {
	delete(g.slots, id)
	g.Unreachable()
}

// Unreachable notes that the target does not accept connections.
func (g *Gate) Unreachable() {
	if g.state != Leaving {
		g.state = Lost
		g.completed = 0
		g.generation++
	}
}

// Heard takes a report. It may lower what the target is given, never raise
// it, but for one thing: a target that was lost is cold again.
func (g *Gate) Heard(now time.Time, r Report) {
	fresh := r.Incarnation != g.incarnation
	g.incarnation, g.reported = r.Incarnation, r.State
	if r.Load > 1 {
		g.overloadedUntil = now.Add(overloadBackoff)
	}
	switch {
	case r.State == Leaving:
		g.state = Leaving
		g.generation++
	case g.state == Lost || g.state == Leaving:
		g.turnCold(TurnReturned)
	case fresh:
		g.turnCold(TurnIncarnation)
	case r.State < g.state:
		// A target that turned cold may say that it is warming again, for work
		// that was under way when it turned.
		g.turnCold(TurnReported)
	}
}

// HandOver takes the state that the last owner of the target had for it. It is
// believed only for the same incarnation of the target, and only if the target
// itself does not say that it is further from full work.
func (g *Gate) HandOver(incarnation string, s State, completed int) {
	if s == Leaving || s == Lost {
		return
	}
	if g.incarnation != "" && (incarnation != g.incarnation || g.reported < s) {
		return
	}
	g.incarnation = incarnation
	g.state = s
	g.completed = max(0, completed)
}

// Return takes the target for cold after it was out of service.
func (g *Gate) Return() { g.turnCold(TurnReturned) }

// turnCold takes the target for cold. Exchanges that began before do not count
// as work done since.
func (g *Gate) turnCold(t Turn) {
	g.state = Cold
	g.completed = 0
	g.typicalLatency = 0
	g.generation++
	if t != TurnNone {
		g.coldCause = t
	}
}

// Expire frees the slots of exchanges that have surely ended by now, and
// returns how many.
func (g *Gate) Expire(now time.Time) int {
	n := 0
	for id, s := range g.slots {
		if now.After(s.endsBy.Add(Margin)) {
			delete(g.slots, id)
			n++
		}
	}
	return n
}

// Next returns when the next slot expires, or the zero time when none is
// taken.
func (g *Gate) Next() time.Time {
	var next time.Time
	for _, s := range g.slots {
		at := s.endsBy.Add(Margin)
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

package budget

import "time"

// windowSlots is the number of steps in which a Window moves on.
const windowSlots = 20

// startFraction is the part of its allowance with which a window begins.
const startFraction = 0.6

// Window bounds the extra requests in any span of a given length to a fraction
// of the first requests plus a fixed allowance. Reset it before use. It is not
// safe for use by several goroutines.
//
// Each host keeps a window of its own. The sum over all hosts stays within the
// bound for all, since the fractions add up and the allowance is divided. A
// window begins with a part of its allowance and earns the rest over the span, so
// that a host that restarts does not spend all of it twice.
type Window struct {
	ratio         float64
	allowance     float64
	stepTime      time.Duration
	start         time.Time
	step          int64
	initial       [windowSlots]int
	additional    [windowSlots]int
	initialSum    int
	additionalSum int
}

// Reset makes the window empty, of the length, at the time.
func (w *Window) Reset(now time.Time, length time.Duration, fraction, allowance float64) {
	*w = Window{ratio: fraction, allowance: allowance, stepTime: length / windowSlots, start: now}
}

// SetAllowance changes the fixed allowance.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// First counts a first request.
func (w *Window) First(now time.Time) {
	w.advance(now)
	w.initial[w.step%windowSlots]++
	w.initialSum++
}

// Left returns the number of extra requests that may be sent now.
func (w *Window) Left(now time.Time) int {
	w.advance(now)
	earned := min(1, startFraction+(1-startFraction)*float64(w.step)/windowSlots)
	return int(w.ratio*float64(w.initialSum)+earned*w.allowance) - w.additionalSum
}

// Spend takes an extra request out of the window and reports whether there was
// one.
func (w *Window) Spend(now time.Time) bool {
	if w.Left(now) <= 0 {
		return false
	}
	w.additional[w.step%windowSlots]++
	w.additionalSum++
	return true
}

func (w *Window) advance(now time.Time) {
	at := int64(now.Sub(w.start) / w.stepTime)
	for n := 0; w.step < at && n < windowSlots; n++ {
		w.step++
		slot := w.step % windowSlots
		w.initialSum -= w.initial[slot]
		w.additionalSum -= w.additional[slot]
		w.initial[slot], w.additional[slot] = 0, 0
	}
	w.step = max(w.step, at)
}

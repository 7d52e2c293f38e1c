package budget

import "time"

// windowSteps is the number of steps into which the length of a Window is divided.
const windowSteps = 20

// startFraction is the fraction of its allowance with which a window starts.
const startFraction = 0.6

// roundingMargin makes up for rounding in sums of gains.
const roundingMargin = 1e-9

// Window limits the additional requests in any span of a given length to a fraction of
// the initial requests plus a fixed allowance. Call Reset before use. A Window is not
// safe for concurrent use.
//
// Each host has a window of its own. The sum over all hosts stays within the common
// limit, because the ratios add up and the allowance is divided among the hosts. A
// window starts with a fraction of its allowance and gains the rest over its length, so
// that a host that restarts does not use all of it twice. It gains a larger allowance at
// the same rate, so that hosts that take over the requests of others do not use theirs
// in the same span.
type Window struct {
	ratio     float64
	allowance float64
	// gained is the part of the allowance that can be used.
	gained        float64
	stepTime      time.Duration
	start         time.Time
	step          int64
	initial       [windowSteps]int
	additional    [windowSteps]int
	initialSum    int
	additionalSum int
}

// Reset empties the window and sets its start and length, the ratio of additional to
// initial requests and the allowance.
func (w *Window) Reset(now time.Time, length time.Duration, ratio, allowance float64) {
	*w = Window{ratio: ratio, allowance: allowance, gained: startFraction * allowance, stepTime: length / windowSteps, start: now}
}

// SetAllowance changes the fixed allowance. A smaller one is in force at once, a larger
// one is gained over time.
func (w *Window) SetAllowance(now time.Time, allowance float64) {
	w.advance(now)
	w.allowance = allowance
	w.gained = min(w.gained, allowance)
}

// AddInitial counts an initial request.
func (w *Window) AddInitial(now time.Time) {
	w.advance(now)
	w.initial[w.step%windowSteps]++
	w.initialSum++
}

// Available returns the number of additional requests that are allowed now.
func (w *Window) Available(now time.Time) int {
	w.advance(now)
	return int(w.ratio*float64(w.initialSum)+w.gained+roundingMargin) - w.additionalSum
}

// TryWithdraw takes one additional request from the window and reports whether one was
// available.
func (w *Window) TryWithdraw(now time.Time) bool {
	if w.Available(now) <= 0 {
		return false
	}
	w.additional[w.step%windowSteps]++
	w.additionalSum++
	return true
}

func (w *Window) advance(now time.Time) {
	step := int64(now.Sub(w.start) / w.stepTime)
	if step > w.step {
		gain := (1 - startFraction) / windowSteps * w.allowance
		w.gained = min(w.allowance, w.gained+float64(step-w.step)*gain)
	}
	for n := 0; w.step < step && n < windowSteps; n++ {
		w.step++
		slot := w.step % windowSteps
		w.initialSum -= w.initial[slot]
		w.additionalSum -= w.additional[slot]
		w.initial[slot], w.additional[slot] = 0, 0
	}
	w.step = max(w.step, step)
}

package budget

import "time"

// windowSteps is the number of steps into which the length of a Window is divided.
const windowSteps = 20

// startFraction is the fraction of its allowance with which a window starts.
const startFraction = 0.6

// Window limits the additional requests in any span of a given length to a fraction of
// the initial requests plus a fixed allowance. Call Reset before use. A Window is not
// safe for concurrent use.
//
// Each host has a window of its own. The sum over all hosts stays within the common
// limit, because the ratios add up and the allowance is divided among the hosts. A
// window starts with a fraction of its allowance and gains the rest over its length, so
// that a host that restarts does not use all of it twice.
type Window struct {
	ratio         float64
	allowance     float64
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
	*w = Window{ratio: ratio, allowance: allowance, stepTime: length / windowSteps, start: now}
}

// SetAllowance changes the fixed allowance.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// AddInitial counts an initial request.
func (w *Window) AddInitial(now time.Time) {
	w.advance(now)
	w.initial[w.step%windowSteps]++
	w.initialSum++
}

// Available returns the number of additional requests that are allowed now.
func (w *Window) Available(now time.Time) int {
	w.advance(now)
	gained := min(1, startFraction+(1-startFraction)*float64(w.step)/windowSteps)
	return int(w.ratio*float64(w.initialSum)+gained*w.allowance) - w.additionalSum
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
	for n := 0; w.step < step && n < windowSteps; n++ {
		w.step++
		slot := w.step % windowSteps
		w.initialSum -= w.initial[slot]
		w.additionalSum -= w.additional[slot]
		w.initial[slot], w.additional[slot] = 0, 0
	}
	w.step = max(w.step, step)
}

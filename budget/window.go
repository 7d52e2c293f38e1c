package budget

import "time"

// windowSlots is the number of steps in which a Window moves on.
const windowSlots = 20

// startShare is the part of its allowance with which a window begins.
const startShare = 0.6

// Window bounds the extra requests in any span of a given length to a fraction
// of the first requests plus a fixed allowance. Reset it before use. It is not
// safe for use by several goroutines.
//
// Each host keeps a window of its own. The sum over all hosts stays within the
// bound for all, since the fractions add up and the allowance is divided. A
// window begins with a part of its allowance and earns the rest over the span, so
// that a host that restarts does not spend all of it twice.
type Window struct {
	fraction  float64
	allowance float64
	step      time.Duration
	began     time.Time
	at        int64
	first     [windowSlots]int
	extra     [windowSlots]int
	firstSum  int
	extraSum  int
}

// Reset makes the window empty, of the length, at the time.
func (w *Window) Reset(now time.Time, length time.Duration, fraction, allowance float64) {
	*w = Window{fraction: fraction, allowance: allowance, step: length / windowSlots, began: now}
}

// SetAllowance changes the fixed allowance.
func (w *Window) SetAllowance(allowance float64) { w.allowance = allowance }

// AddInitial counts a first request.
func (w *Window) AddInitial(now time.Time) {
	w.move(now)
	w.first[w.at%windowSlots]++
	w.firstSum++
}

// Available returns the number of extra requests that may be sent now.
func (w *Window) Available(now time.Time) int {
	w.move(now)
	earned := min(1, startShare+(1-startShare)*float64(w.at)/windowSlots)
	return int(w.fraction*float64(w.firstSum)+earned*w.allowance) - w.extraSum
}

// TryWithdraw takes an extra request out of the window and reports whether there was
// one.
func (w *Window) TryWithdraw(now time.Time) bool {
	if w.Available(now) <= 0 {
		return false
	}
	w.extra[w.at%windowSlots]++
	w.extraSum++
	return true
}

func (w *Window) move(now time.Time) {
	at := int64(now.Sub(w.began) / w.step)
	for n := 0; w.at < at && n < windowSlots; n++ {
		w.at++
		slot := w.at % windowSlots
		w.firstSum -= w.first[slot]
		w.extraSum -= w.extra[slot]
		w.first[slot], w.extra[slot] = 0, 0
	}
	w.at = max(w.at, at)
}

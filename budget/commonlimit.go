package budget

import "time"

// Shares of CommonLimit.Allowance. What all hosts together have saved up at the start of a
// window, what they gain with time in it, and what they start with if all are replaced twice in
// it, add up to the allowance.
const (
	savedShare  = 0.5
	gainedShare = 0.3
	startShare  = 0.1
)

// CommonLimit limits the additional requests of all hosts together: in any span as long as
// Window they are at most Ratio times the initial requests, plus Allowance.
type CommonLimit struct {
	Ratio     float64
	Window    time.Duration
	Allowance float64
}

// Share returns the limits of the bucket of each host if there are so many hosts. Hosts that
// keep to them stay within the common limit without agreement, while they are killed, stopped,
// suspended or cut off, and requests move to others. A host may save up one request even if its
// share is less, as it could not send any otherwise.
func (c CommonLimit) Share(hosts int) Limits {
	allowance := c.Allowance / float64(max(1, hosts))
	l := Limits{Ratio: c.Ratio, Capacity: max(1, savedShare*allowance), Start: startShare * allowance}
	if c.Window > 0 {
		l.PerSecond = gainedShare * allowance / c.Window.Seconds()
	}
	return l
}

package budget

import "fescuerill/internal/invariant"

// Burst is the number of extra requests that can be saved up.
const Burst = 256

// Reserve is the number of extra requests that are kept for those that cannot
// wait.
const Reserve = 2

// unitsPerRequest is one extra request. Parts of one are counted in whole numbers, so that
// no rounding grants more than was earned.
const unitsPerRequest = 1_000_000

// Budget counts first requests and the extra requests they allow. The zero
// value allows none until SetFraction is called. It is not safe for use by
// several goroutines.
type Budget struct {
	ratio     int64
	balance   int64
	deposited int64
	withdrawn int64
	initial   int64
}

// SetFraction sets the extra requests allowed for each first request. It
// applies to first requests from now on.
func (b *Budget) SetFraction(fraction float64) {
	b.ratio = int64(fraction * unitsPerRequest)
}

// Reset forgets all that was counted and keeps the fraction.
func (b *Budget) Reset() {
	*b = Budget{ratio: b.ratio}
}

// Earn counts n first requests.
func (b *Budget) Earn(n int) {
	gain := int64(n) * b.ratio
	b.initial += int64(n)
	b.deposited += gain
	b.balance = min(b.balance+gain, Burst*unitsPerRequest)
}

// Spend takes one extra request out of the budget and reports whether there
// was one. One that is not urgent leaves the reserve.
func (b *Budget) Spend(urgent bool) bool {
	least := int64(unitsPerRequest)
	if !urgent {
		least += Reserve * unitsPerRequest
	}
	if b.balance < least {
		return false
	}
	b.balance -= unitsPerRequest
	b.withdrawn++
	invariant.Check(b.withdrawn*unitsPerRequest <= b.deposited, "extra-load-within-budget", "spent", b.withdrawn, "earned", b.deposited)
	return true
}

// First returns the number of first requests counted.
func (b *Budget) First() int64 { return b.initial }

// Spent returns the number of extra requests taken.
func (b *Budget) Spent() int64 { return b.withdrawn }

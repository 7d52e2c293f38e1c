package budget

import "fescuerill/internal/invariant"

// Burst is the number of extra requests that can be saved up.
const Burst = 256

// Reserve is the number of extra requests that are kept for those that cannot
// wait.
const Reserve = 2

// unit is one extra request. Parts of one are counted in whole numbers, so that
// no rounding grants more than was earned.
const unit = 1_000_000

// Budget counts first requests and the extra requests they allow. The zero
// value allows none until SetFraction is called. It is not safe for use by
// several goroutines.
type Budget struct {
	fraction int64
	saved    int64
	earned   int64
	spent    int64
	first    int64
}

// SetFraction sets the extra requests allowed for each first request. It
// applies to first requests from now on.
func (b *Budget) SetFraction(fraction float64) {
	b.fraction = int64(fraction * unit)
}

// Reset forgets all that was counted and keeps the fraction.
func (b *Budget) Reset() {
	*b = Budget{fraction: b.fraction}
}

// Earn counts n first requests.
func (b *Budget) Earn(n int) {
	gain := int64(n) * b.fraction
	b.first += int64(n)
	b.earned += gain
	b.saved = min(b.saved+gain, Burst*unit)
}

// Spend takes one extra request out of the budget and reports whether there
// was one. One that is not urgent leaves the reserve.
func (b *Budget) Spend(urgent bool) bool {
	least := int64(unit)
	if !urgent {
		least += Reserve * unit
	}
	if b.saved < least {
		return false
	}
	b.saved -= unit
	b.spent++
	invariant.Check(b.spent*unit <= b.earned, "extra-load-within-budget", "spent", b.spent, "earned", b.earned)
	return true
}

// First returns the number of first requests counted.
func (b *Budget) First() int64 { return b.first }

// Spent returns the number of extra requests taken.
func (b *Budget) Spent() int64 { return b.spent }

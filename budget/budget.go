package budget

import "fescuerill/internal/invariant"

// Burst is the number of extra requests that can be saved up.
const Burst = 256

// UrgentReserve is the number of extra requests that are kept for those that cannot
// wait.
const UrgentReserve = 2

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

// SetRatio sets the extra requests allowed for each first request. It
// applies to first requests from now on.
func (b *Budget) SetRatio(fraction float64) {
	b.fraction = int64(fraction * unit)
}

// Reset forgets all that was counted and keeps the fraction.
func (b *Budget) Reset() {
	*b = Budget{fraction: b.fraction}
}

// Deposit counts n first requests.
func (b *Budget) Deposit(n int) {
	gain := int64(n) * b.fraction
	b.first += int64(n)
	b.earned += gain
	b.saved = min(b.saved+gain, Burst*unit)
}

// TryWithdraw takes one extra request out of the budget and reports whether there
// was one. One that is not urgent leaves the reserve.
func (b *Budget) TryWithdraw(urgent bool) bool {
	least := int64(unit)
	if !urgent {
		least += UrgentReserve * unit
	}
	if b.saved < least {
		return false
	}
	b.saved -= unit
	b.spent++
	invariant.Check(b.spent*unit <= b.earned, "extra-load-within-budget", "spent", b.spent, "earned", b.earned)
	return true
}

// InitialRequests returns the number of first requests counted.
func (b *Budget) InitialRequests() int64 { return b.first }

// AdditionalRequests returns the number of extra requests taken.
func (b *Budget) AdditionalRequests() int64 { return b.spent }

package budget

import "fescuerill/internal/invariant"

// Burst is the maximum number of additional requests that can be saved up.
const Burst = 256

// UrgentReserve is the number of additional requests that are kept for urgent requests.
const UrgentReserve = 2

// unitsPerRequest is the cost of one additional request. Fractions of a request are
// counted in integers, so that rounding never grants more than was deposited.
const unitsPerRequest = 1_000_000

// Budget counts initial requests and the additional requests, retries and hedges, that
// they allow. The zero value allows none until SetRatio is called. A Budget is not safe
// for concurrent use.
type Budget struct {
	ratio     int64
	balance   int64
	deposited int64
	withdrawn int64
	initial   int64
}

// SetRatio sets the number of additional requests allowed for each initial request. It
// applies to the initial requests from now on.
func (b *Budget) SetRatio(ratio float64) {
	b.ratio = int64(ratio * unitsPerRequest)
}

// Reset sets all counts to zero and keeps the ratio.
func (b *Budget) Reset() {
	*b = Budget{ratio: b.ratio}
}

// Deposit counts n initial requests.
func (b *Budget) Deposit(n int) {
	units := int64(n) * b.ratio
	b.initial += int64(n)
	b.deposited += units
	b.balance = min(b.balance+units, Burst*unitsPerRequest)
}

// TryWithdraw takes one additional request from the budget and reports whether the
// balance allowed it. A request that is not urgent leaves UrgentReserve in the budget.
func (b *Budget) TryWithdraw(urgent bool) bool {
	minBalance := int64(unitsPerRequest)
	if !urgent {
		minBalance += UrgentReserve * unitsPerRequest
	}
	if b.balance < minBalance {
		return false
	}
	b.balance -= unitsPerRequest
	b.withdrawn++
	invariant.Check(b.withdrawn*unitsPerRequest <= b.deposited, "extra-load-within-budget", "spent", b.withdrawn, "earned", b.deposited)
	return true
}

// InitialRequests returns the number of initial requests counted.
func (b *Budget) InitialRequests() int64 { return b.initial }

// AdditionalRequests returns the number of additional requests withdrawn.
func (b *Budget) AdditionalRequests() int64 { return b.withdrawn }

package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
)

func TestExtraRequestsStayBelowTheFraction(t *testing.T) {
	for _, fraction := range []float64{0, 0.01, 0.05, 0.3, 1} {
		var b budget.Budget
		b.SetRatio(fraction)
		for range 10_000 {
			b.Deposit(1)
			b.TryWithdraw(true)
			b.TryWithdraw(false)
		}
		assert.LessOrEqual(t, float64(b.AdditionalRequests()), fraction*float64(b.InitialRequests()), fraction)
		assert.GreaterOrEqual(t, float64(b.AdditionalRequests()), fraction*float64(b.InitialRequests())-1, fraction)
	}
}

func TestReserveIsForUrgentRequests(t *testing.T) {
	var b budget.Budget
	b.SetRatio(1)
	b.Deposit(budget.UrgentReserve)
	assert.False(t, b.TryWithdraw(false))
	for range budget.UrgentReserve {
		assert.True(t, b.TryWithdraw(true))
	}
	assert.False(t, b.TryWithdraw(true))
}

func ExampleBudget() {
	var b budget.Budget
	b.SetRatio(0.05)
	b.Deposit(100)
	granted := 0
	for b.TryWithdraw(true) {
		granted++
	}
	fmt.Println(granted)
	// Output: 5
}

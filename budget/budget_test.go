package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
)

func TestAdditionalRequestsStayWithinRatio(t *testing.T) {
	for _, ratio := range []float64{0, 0.01, 0.05, 0.3, 1} {
		var b budget.Budget
		b.SetRatio(ratio)
		for range 10_000 {
			b.Deposit(1)
			b.TryWithdraw(true)
			b.TryWithdraw(false)
		}
		assert.LessOrEqual(t, float64(b.AdditionalRequests()), ratio*float64(b.InitialRequests()), ratio)
		assert.GreaterOrEqual(t, float64(b.AdditionalRequests()), ratio*float64(b.InitialRequests())-1, ratio)
	}
}

func TestReserveIsKeptForUrgentRequests(t *testing.T) {
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

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
		b.SetFraction(fraction)
		for range 10_000 {
			b.Earn(1)
			b.Spend(true)
			b.Spend(false)
		}
		assert.LessOrEqual(t, float64(b.Spent()), fraction*float64(b.First()), fraction)
		assert.GreaterOrEqual(t, float64(b.Spent()), fraction*float64(b.First())-1, fraction)
	}
}

func TestReserveIsForUrgentRequests(t *testing.T) {
	var b budget.Budget
	b.SetFraction(1)
	b.Earn(budget.Reserve)
	assert.False(t, b.Spend(false))
	for range budget.Reserve {
		assert.True(t, b.Spend(true))
	}
	assert.False(t, b.Spend(true))
}

func ExampleBudget() {
	var b budget.Budget
	b.SetFraction(0.05)
	b.Earn(100)
	granted := 0
	for b.Spend(true) {
		granted++
	}
	fmt.Println(granted)
	// Output: 5
}

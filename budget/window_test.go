package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
)

// Limit for the additional requests of all hosts together in any window.
const (
	ratio     = 0.2
	allowance = 58.0
	window    = 10 * time.Second
	hostCount = 9
)

// TestWindowsOfAllHostsStayWithinCommonLimit simulates hosts that try to send an
// additional request for each initial one. Hosts restart at random, at times all at
// once, and the load drops repeatedly; in either case the sum over the hosts could
// exceed the common limit. The test checks every sliding window over all hosts.
func TestWindowsOfAllHostsStayWithinCommonLimit(t *testing.T) {
	start := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(7, 7))
	windows := make([]budget.Window, hostCount)
	for i := range windows {
		windows[i].Reset(start, window*11/10, ratio, allowance*0.5/hostCount)
	}
	const step = 10 * time.Millisecond
	var initial, additional []int
	for n := range 6000 {
		now := start.Add(time.Duration(n) * step)
		if n%700 == 0 {
			i := r.IntN(hostCount)
			windows[i].Reset(now, window*11/10, ratio, allowance*0.5/hostCount)
		}
		if n%2000 == 1999 {
			for i := range windows {
				windows[i].Reset(now, window*11/10, ratio, allowance*0.5/hostCount)
			}
		}
		newInitial, newAdditional := 0, 0
		for i := range windows {
			if n/1500%2 == 0 || r.IntN(20) == 0 {
				windows[i].AddInitial(now)
				newInitial++
			}
			if windows[i].TryWithdraw(now) {
				newAdditional++
			}
		}
		initial, additional = append(initial, newInitial), append(additional, newAdditional)
	}
	span := int(window / step)
	for n := span; n < len(initial); n++ {
		requests := max(sum(initial, n-span, n), sum(initial, n-2*span, n-span), sum(initial, n-span-span/2, n-span/2))
		assert.LessOrEqual(t, float64(sum(additional, n-span, n)), ratio*float64(requests)+allowance, n)
	}
}

func sum(values []int, from, to int) int {
	total := 0
	for _, v := range values[max(0, from):max(0, to)] {
		total += v
	}
	return total
}

func TestWindowGainsAllowanceOverTime(t *testing.T) {
	var w budget.Window
	start := time.Unix(1000, 0)
	w.Reset(start, window, 0, 10)
	assert.Equal(t, 6, w.Available(start))
	assert.Equal(t, 8, w.Available(start.Add(window/2)))
	assert.Equal(t, 10, w.Available(start.Add(3*window)))
}

func TestWindowDropsExpiredRequests(t *testing.T) {
	var w budget.Window
	start := time.Unix(1000, 0)
	w.Reset(start, window, 1, 0)
	w.AddInitial(start)
	assert.True(t, w.TryWithdraw(start))
	assert.False(t, w.TryWithdraw(start))
	later := start.Add(window + window/10)
	assert.Equal(t, 0, w.Available(later))
	w.AddInitial(later)
	assert.True(t, w.TryWithdraw(later))
}

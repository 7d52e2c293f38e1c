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

// TestLargerAllowanceIsGainedOverTime changes the allowance of a window while it is used.
func TestLargerAllowanceIsGainedOverTime(t *testing.T) {
	var w budget.Window
	start := time.Unix(1000, 0)
	w.Reset(start, window, 0, 10)
	later := start.Add(window)
	w.SetAllowance(later, 100)
	assert.Equal(t, 10, w.Available(later))
	assert.Equal(t, 30, w.Available(later.Add(window/2)))
	assert.Equal(t, 50, w.Available(later.Add(window)))
	assert.Equal(t, 100, w.Available(later.Add(3*window)))
	w.SetAllowance(later.Add(3*window), 10)
	assert.Equal(t, 10, w.Available(later.Add(3*window)))
}

// TestWindowsStayWithinCommonLimitWhenSendersChange has few of many hosts send, each with
// its part of the allowance for these, and the others with a part for all hosts. At times
// another few take over at once. Each tries to send an additional request all the time.
func TestWindowsStayWithinCommonLimitWhenSendersChange(t *testing.T) {
	const senders, step = 2, 10 * time.Millisecond
	start := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(11, 7))
	windows := make([]budget.Window, hostCount)
	for i := range windows {
		windows[i].Reset(start, window*11/10, 0, allowance*0.5/hostCount)
	}
	var additional []int
	first := 0
	for n := range 12000 {
		now := start.Add(time.Duration(n) * step)
		if r.IntN(700) == 0 {
			first = r.IntN(hostCount)
		}
		sent := 0
		for i := range windows {
			sends := (i-first+hostCount)%hostCount < senders
			if sends {
				windows[i].SetAllowance(now, allowance*0.5/senders)
			} else {
				windows[i].SetAllowance(now, allowance*0.5/hostCount)
			}
			if windows[i].TryWithdraw(now) {
				sent++
			}
		}
		additional = append(additional, sent)
	}
	span := int(window / step)
	most := 0
	for n := span; n < len(additional); n++ {
		most = max(most, sum(additional, n-span, n))
	}
	assert.LessOrEqual(t, float64(most), allowance)
	assert.Greater(t, float64(most), allowance/2, "the senders use their parts")
}

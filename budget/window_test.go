package budget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
)

// fleetBound is what all hosts together may send in any window.
const (
	fraction  = 0.2
	allowance = 58.0
	window    = 10 * time.Second
	hosts     = 9
)

// TestFleetStaysWithinTheBoundInAnyWindow replays hosts that try to send an extra
// request for each first one, restart at random and see the load fall away, and
// checks each sliding window over all of them.
func TestFleetStaysWithinTheBoundInAnyWindow(t *testing.T) {
	start := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(7, 7))
	fleet := make([]budget.Window, hosts)
	for i := range fleet {
		fleet[i].Reset(start, window*11/10, fraction, allowance*0.5/hosts)
	}
	const step = 10 * time.Millisecond
	var first, extra []int
	for n := range 6000 {
		now := start.Add(time.Duration(n) * step)
		if n%700 == 0 {
			i := r.IntN(hosts)
			fleet[i].Reset(now, window*11/10, fraction, allowance*0.5/hosts)
		}
		if n%2000 == 1999 {
			for i := range fleet {
				fleet[i].Reset(now, window*11/10, fraction, allowance*0.5/hosts)
			}
		}
		f, e := 0, 0
		for i := range fleet {
			if n/1500%2 == 0 || r.IntN(20) == 0 {
				fleet[i].AddInitial(now)
				f++
			}
			if fleet[i].TryWithdraw(now) {
				e++
			}
		}
		first, extra = append(first, f), append(extra, e)
	}
	span := int(window / step)
	for n := span; n < len(first); n++ {
		requests := max(sum(first, n-span, n), sum(first, n-2*span, n-span), sum(first, n-span-span/2, n-span/2))
		assert.LessOrEqual(t, float64(sum(extra, n-span, n)), fraction*float64(requests)+allowance, n)
	}
}

func sum(values []int, from, to int) int {
	total := 0
	for _, v := range values[max(0, from):max(0, to)] {
		total += v
	}
	return total
}

func TestWindowEarnsItsAllowance(t *testing.T) {
	var w budget.Window
	start := time.Unix(1000, 0)
	w.Reset(start, window, 0, 10)
	assert.Equal(t, 6, w.Available(start))
	assert.Equal(t, 8, w.Available(start.Add(window/2)))
	assert.Equal(t, 10, w.Available(start.Add(3*window)))
}

func TestWindowForgetsWhatIsPast(t *testing.T) {
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

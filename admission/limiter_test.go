package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/admission"
)

var began = time.Unix(1_700_000_000, 0)

// simulate sends queries, as many at once as the limiter admits, to a server that can
// handle the given number, and returns the limit at the end.
func simulate(t *testing.T, l *admission.Limiter, capacity int) int {
	t.Helper()
	for round := range 400 {
		now := began.Add(time.Duration(round) * 50 * time.Millisecond)
		n := 0
		for l.TryAcquire() {
			n++
		}
		used := float64(n) / float64(capacity)
		for range n {
			l.Release(now, admission.Result{TimeFraction: min(used, 1), LostParts: used > 1})
		}
		assert.Zero(t, l.InFlight())
	}
	return l.Limit()
}

func TestLimitConvergesBelowServerCapacity(t *testing.T) {
	for _, capacity := range []int{4, 20, 100} {
		var l admission.Limiter
		l.Reset(256, 50*time.Millisecond)
		got := simulate(t, &l, capacity)
		assert.LessOrEqual(t, got, capacity, "queries are lost")
		assert.GreaterOrEqual(t, got, capacity/3, "the server is idle")
	}
}

func TestLimiterAlwaysAdmitsOneQuery(t *testing.T) {
	var l admission.Limiter
	l.Reset(256, 0)
	for range 100 {
		assert.True(t, l.TryAcquire())
		l.Release(began, admission.Result{LostParts: true})
	}
	assert.Equal(t, 1, l.Limit())
}

func TestTryAcquireFractionStopsAtFraction(t *testing.T) {
	for _, fraction := range []float64{0.5, 0.75, 1, 1.5} {
		var l admission.Limiter
		l.Reset(100, 0)
		got := 0
		for l.TryAcquireFraction(fraction) {
			got++
		}
		assert.Equal(t, int(float64(l.Limit())*fraction), got, "fraction %v", fraction)
	}
}

// TestLowPriorityQueriesYieldAndAreNotStarved offers twice the load that a server can
// handle; one query in four has low priority. A rejected query is retried once,
// and the retry may exceed the limit. Without a share of their own, low-priority queries
// would starve under overload. The server runs capacity queries at once, each for that
// many steps, so it completes one query per step while two arrive on average.
func TestLowPriorityQueriesYieldAndAreNotStarved(t *testing.T) {
	const retryFraction, capacity = 1.5, 10
	random := rand.New(rand.NewPCG(1, 2))
	var l admission.Limiter
	l.Reset(capacity, time.Hour)
	var offered, admitted [2]int
	var retries []int
	endSteps := make([]int, 0, 2*capacity)
	for step := range 20_000 {
		for len(endSteps) > 0 && endSteps[0] <= step {
			endSteps = endSteps[1:]
			l.Release(began, admission.Result{TimeFraction: 0.6})
		}
		tryAdmit := func(kind int, fraction float64) bool {
			acquire := l.TryAcquireFraction
			if kind == 1 {
				acquire = l.TryAcquireLowPriority
			}
			if !acquire(fraction) {
				return false
			}
			admitted[kind]++
			endSteps = append(endSteps, step+capacity)
			return true
		}
		for _, kind := range retries {
			tryAdmit(kind, retryFraction)
		}
		retries = retries[:0]
		for range random.IntN(5) {
			kind := 0
			if random.IntN(4) == 0 {
				kind = 1
			}
			offered[kind]++
			if !tryAdmit(kind, 1) {
				retries = append(retries, kind)
			}
		}
	}
	share := func(kind int) float64 { return float64(admitted[kind]) / float64(offered[kind]) }
	all := float64(admitted[0]+admitted[1]) / float64(offered[0]+offered[1])
	t.Logf("high priority %.2f, low priority %.2f, all %.2f", share(0), share(1), all)
	assert.Greater(t, share(0), share(1))
	assert.Greater(t, share(1), all/4)
}

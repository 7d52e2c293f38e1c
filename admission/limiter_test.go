package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/admission"
)

var began = time.Unix(1_700_000_000, 0)

// serve lets queries through a server that takes 10 ms for each at a time, and
// returns the limit at the end.
func serve(t *testing.T, l *admission.Limiter, server int) int {
	t.Helper()
	for round := range 400 {
		now := began.Add(time.Duration(round) * 50 * time.Millisecond)
		n := 0
		for l.TryAcquire() {
			n++
		}
		used := float64(n) / float64(server)
		for range n {
			l.Release(now, admission.Result{TimeFraction: min(used, 1), LostParts: used > 1})
		}
		assert.Zero(t, l.InFlight())
	}
	return l.Limit()
}

func TestLimitSettlesBelowWhatIsLost(t *testing.T) {
	for _, server := range []int{4, 20, 100} {
		var l admission.Limiter
		l.Reset(256, 50*time.Millisecond)
		got := serve(t, &l, server)
		assert.LessOrEqual(t, got, server, "queries are lost")
		assert.GreaterOrEqual(t, got, server/3, "the server is idle")
	}
}

func TestOneQueryIsAlwaysAdmitted(t *testing.T) {
	var l admission.Limiter
	l.Reset(256, 0)
	for range 100 {
		assert.True(t, l.TryAcquire())
		l.Release(began, admission.Result{LostParts: true})
	}
	assert.Equal(t, 1, l.Limit())
}

func TestPartsOfTheLimit(t *testing.T) {
	for _, part := range []float64{0.5, 0.75, 1, 1.5} {
		var l admission.Limiter
		l.Reset(100, 0)
		got := 0
		for l.TryAcquireFraction(part) {
			got++
		}
		assert.Equal(t, int(float64(l.Limit())*part), got, "part %v", part)
	}
}

// TestLessUrgentQueriesGiveWayAndAreNotStarved replays twice the load that a server
// bears, of which one query in four is less urgent. Each that is refused comes back
// once, and is then let in beyond the limit.
func TestLessUrgentQueriesGiveWayAndAreNotStarved(t *testing.T) {
	const returnPart, service = 1.5, 10
	random := rand.New(rand.NewPCG(1, 2))
	var l admission.Limiter
	l.Reset(service, time.Hour)
	var asked, served [2]int
	var back []int
	ends := make([]int, 0, 2*service)
	for step := range 20_000 {
		for len(ends) > 0 && ends[0] <= step {
			ends = ends[1:]
			l.Release(began, admission.Result{TimeFraction: 0.6})
		}
		enter := func(kind int, part float64) bool {
			admit := l.TryAcquireFraction
			if kind == 1 {
				admit = l.TryAcquireLowPriority
			}
			if !admit(part) {
				return false
			}
			served[kind]++
			ends = append(ends, step+service)
			return true
		}
		for _, kind := range back {
			enter(kind, returnPart)
		}
		back = back[:0]
		for range random.IntN(5) {
			kind := 0
			if random.IntN(4) == 0 {
				kind = 1
			}
			asked[kind]++
			if !enter(kind, 1) {
				back = append(back, kind)
			}
		}
	}
	share := func(kind int) float64 { return float64(served[kind]) / float64(asked[kind]) }
	all := float64(served[0]+served[1]) / float64(asked[0]+asked[1])
	t.Logf("urgent %.2f, less urgent %.2f, all %.2f", share(0), share(1), all)
	assert.Greater(t, share(0), share(1))
	assert.Greater(t, share(1), all/4)
}

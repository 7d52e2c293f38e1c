package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/replicas"
	"fescuerill/owner"
)

// TestColdStartLimiterBoundsRequestsOfFleet simulates hosts that all try to send at
// every moment while hosts start and stop. One host is isolated and considers itself
// the whole fleet, so that it ranks first for every target.
func TestColdStartLimiterBoundsRequestsOfFleet(t *testing.T) {
	for _, rate := range []float64{0, 1, 5, 9.5, 20} {
		arrivals := coldArrivals(rand.New(rand.NewPCG(3, uint64(rate))), rate)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n] < first+1000 {
				n++
			}
			assert.LessOrEqual(t, float64(n), rate, "at %d ms", first)
		}
		assert.Equal(t, rate >= 2, len(arrivals) > 0, "the target gets requests to warm up")
	}
}

// coldArrivals returns the times at which requests arrive at a cold target within
// 20 s, in milliseconds.
func coldArrivals(r *rand.Rand, rate float64) []int {
	var arrivals []int
	limiters := make([]replicas.ColdStartLimiter, 9)
	alive := make([]bool, len(limiters))
	isolated := -1
	for ms := range 20_000 {
		if ms%2000 == 0 {
			for i := range alive {
				alive[i] = r.IntN(4) > 0
			}
			isolated = r.IntN(len(alive))
		}
		for i := range limiters {
			if alive[i] && limiters[i].Allowed(at(ms), "t", rank(i, isolated, alive), rate) {
				limiters[i].Record(at(ms), "t")
				arrivals = append(arrivals, ms)
			}
		}
	}
	return arrivals
}

// rank returns how many of the hosts that a host considers live rank before it.
func rank(host, isolated int, alive []bool) int {
	n := 0
	for o := range alive {
		if host != isolated && alive[o] && o != isolated && weight(o) > weight(host) {
			n++
		}
	}
	return n
}

func weight(host int) uint64 { return owner.RendezvousWeight("t", fmt.Sprint("host", host)) }

// TestPausedHostWritesNoSecondColdRequest has one host decide to send to a cold target
// whenever that is allowed, while it is paused at random between a decision and the writing
// of the request. No second may have two requests.
func TestPausedHostWritesNoSecondColdRequest(t *testing.T) {
	type pending struct{ allowedAt, writeAt int }
	r := rand.New(rand.NewPCG(5, 5))
	var limiter replicas.ColdStartLimiter
	var waiting []pending
	var written []int
	resumesAt := 0
	for ms := range 120_000 {
		if r.IntN(1500) == 0 {
			resumesAt = ms + r.IntN(4000)
		}
		if ms < resumesAt {
			continue
		}
		kept := waiting[:0]
		for _, w := range waiting {
			switch {
			case ms < w.writeAt:
				kept = append(kept, w)
			case limiter.PermissionValid(at(ms), at(w.allowedAt)):
				written = append(written, ms)
			}
		}
		waiting = kept
		if limiter.Allowed(at(ms), "t", 0, 2) {
			limiter.Record(at(ms), "t")
			waiting = append(waiting, pending{ms, ms + r.IntN(200)})
		}
	}
	assert.Greater(t, len(written), 20)
	for i := range written[1:] {
		assert.GreaterOrEqual(t, written[i+1]-written[i], 1000, "at %d ms", written[i])
	}
}

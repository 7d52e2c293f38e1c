package replicas_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/replicas"
	"fescuerill/owner"
)

// TestFleetNeverSendsAColdTargetMoreThanItBears replays hosts that all want to send
// at any moment, while hosts come and go and one is cut off and takes itself for the
// whole fleet.
func TestFleetNeverSendsAColdTargetMoreThanItBears(t *testing.T) {
	for _, bears := range []float64{0, 1, 5, 9.5, 20} {
		arrivals := warm(rand.New(rand.NewPCG(3, uint64(bears))), bears)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n] < first+1000 {
				n++
			}
			assert.LessOrEqual(t, float64(n), bears, "at %d ms", first)
		}
		assert.Equal(t, bears >= 2, len(arrivals) > 0, "it is warmed up")
	}
}

// warm returns when requests arrive at a cold target within 20 s, in milliseconds.
func warm(r *rand.Rand, bears float64) []int {
	var arrivals []int
	rights := make([]replicas.ColdStartLimiter, 9)
	alive := make([]bool, len(rights))
	alone := -1
	for ms := range 20_000 {
		if ms%2000 == 0 {
			for i := range alive {
				alive[i] = r.IntN(4) > 0
			}
			alone = r.IntN(len(alive))
		}
		for i := range rights {
			if alive[i] && rights[i].May(at(ms), "t", rank(i, alone, alive), bears) {
				rights[i].Take(at(ms), "t")
				arrivals = append(arrivals, ms)
			}
		}
	}
	return arrivals
}

// rank returns how many hosts come before one, of those that it sees.
func rank(host, alone int, alive []bool) int {
	n := 0
	for o := range alive {
		if host != alone && alive[o] && o != alone && weight(o) > weight(host) {
			n++
		}
	}
	return n
}

func weight(host int) uint64 { return owner.RendezvousWeight("t", fmt.Sprint("host", host)) }

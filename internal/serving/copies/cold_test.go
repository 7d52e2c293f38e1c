package copies_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/copies"
	"fescuerill/owner"
)

// TestFleetNeverSendsAColdTargetMoreThanItBears replays hosts that all want to send
// at any moment, while hosts come and go and some are cut off and take themselves for
// a smaller fleet.
func TestFleetNeverSendsAColdTargetMoreThanItBears(t *testing.T) {
	for _, bears := range []float64{0, 1, 5, 9.5, 20} {
		r := rand.New(rand.NewPCG(3, uint64(bears)))
		var arrivals []int
		rights := make([]copies.ColdRights, 9)
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
				if !alive[i] {
					continue
				}
				rank := 0
				for o := range alive {
					if i != alone && alive[o] && o != alone && weight(o) > weight(i) {
						rank++
					}
				}
				if rights[i].May(at(ms), "t", rank, bears) {
					rights[i].Take(at(ms), "t")
					arrivals = append(arrivals, ms)
				}
			}
		}
		for i := range arrivals {
			n := 0
			for _, ms := range arrivals[i:] {
				if ms < arrivals[i]+1000 {
					n++
				}
			}
			assert.LessOrEqual(t, float64(n), bears, "at %d ms", arrivals[i])
		}
		assert.Equal(t, bears >= 2, len(arrivals) > 0, "it is warmed up")
	}
}

func weight(host int) uint64 { return owner.Weight("t", fmt.Sprint("host", host)) }

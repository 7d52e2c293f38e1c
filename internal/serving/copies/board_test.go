package copies_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/copies"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pair() []copies.Candidate {
	return []copies.Candidate{{ID: "near", Slots: 2, Local: true}, {ID: "far", Slots: 2}}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// request sends one request to a copy and lets it take a time.
func request(b *copies.Board, ms int, id string, took time.Duration, r copies.Result) {
	token := b.Begin(at(ms), id, typical)
	b.End(at(ms).Add(took), id, token, r, typical)
}

func TestChoosePrefersLocalReplica(t *testing.T) {
	var b copies.Board
	r := source()
	for ms := range 200 {
		assert.Equal(t, 0, b.Choose(at(ms), pair(), r))
		request(&b, ms, "near", time.Duration(8+ms%5)*time.Millisecond, copies.Answered)
	}
}

func TestChoosePrefersWarmReplicas(t *testing.T) {
	var b copies.Board
	near := pair()
	near[0].Warming, near[0].Local, near[1].Local = true, true, true
	assert.Equal(t, 1, b.Choose(at(0), near, source()))
	assert.Equal(t, 0, b.Choose(at(0), near[:1], source()), "one that has just started is better than none")
	near[1].RateLimited = true
	assert.Equal(t, 0, b.Choose(at(0), near, source()))
}

func TestChooseAvoidsReplicaWithOverdueAnswer(t *testing.T) {
	var b copies.Board
	token := b.Begin(at(0), "near", typical)
	assert.Equal(t, 0, b.Choose(at(20), pair(), source()))
	assert.Equal(t, 1, b.Choose(at(40), pair(), source()), "three usual latencies have passed")
	b.End(at(100), "near", token, copies.Abandoned, typical)
}

func TestChooseAvoidsSlowReplicaAndReturnsToIt(t *testing.T) {
	var b copies.Board
	asked := 0
	for ms := 0; b.Choose(at(ms), pair(), source()) == 0; ms += 100 {
		request(&b, ms, "near", 8*typical, copies.Answered)
		asked++
	}
	assert.LessOrEqual(t, asked, 3)
	later := at(asked*100 + 6000)
	assert.Equal(t, 0, b.Choose(later, pair(), source()), "the memory of its slowness has faded")
}

func TestChooseAvoidsFailingReplica(t *testing.T) {
	var b copies.Board
	asked := 0
	for ms := 0; b.Choose(at(ms), pair(), source()) == 0; ms += 20 {
		request(&b, ms, "near", typical, copies.Failed)
		asked++
	}
	assert.LessOrEqual(t, asked, 2)
}

// TestChooseAvoidsReplicaThatShedsSomeRequests replays a copy that refuses six in
// ten requests for nine seconds though it has room: the other one takes its
// requests, so that few need a second send.
func TestChooseAvoidsReplicaThatShedsSomeRequests(t *testing.T) {
	var b copies.Board
	r := source()
	refused, asked := 0, 0
	for ms := 0; ms < 9000; ms += 50 {
		asked++
		if b.Choose(at(ms), pair(), r) != 0 {
			request(&b, ms, "far", typical, copies.Answered)
			continue
		}
		result := copies.Answered
		if r.IntN(10) < 6 {
			result = copies.Shed
			refused++
		}
		request(&b, ms, "near", time.Millisecond, result)
	}
	assert.Less(t, float64(refused)/float64(asked), 0.1)
}

func TestChoosePrefersReplicaThatFailsLess(t *testing.T) {
	var b copies.Board
	for ms := range 40 {
		request(&b, ms, "near", typical, copies.Failed)
		request(&b, ms, "far", typical, copies.Result(ms%2*int(copies.Failed)))
	}
	assert.Equal(t, 1, b.Choose(at(60), pair(), source()))
}

func TestUnreachableReplicaIsEjectedAndProbedByOneRequest(t *testing.T) {
	var b copies.Board
	one := pair()[:1]
	request(&b, 0, "near", 0, copies.Unreachable)
	assert.Equal(t, -1, b.Choose(at(1), one, source()))
	assert.Equal(t, 0, b.Choose(at(250), one, source()))
	token := b.Begin(at(250), "near", typical)
	assert.Equal(t, -1, b.Choose(at(251), one, source()), "one request at a time tries it")
	b.End(at(260), "near", token, copies.Answered, typical)
	assert.Equal(t, 0, b.Choose(at(261), one, source()))
}

func TestEjectionGrowsAndIsBounded(t *testing.T) {
	var b copies.Board
	ms := 0
	for range 8 {
		request(&b, ms, "near", 0, copies.Unreachable)
		ms += int(b.Copy("near").EjectionLeft(at(ms)).Milliseconds()) + 1
	}
	request(&b, ms, "near", 0, copies.Unreachable)
	assert.Equal(t, 2*time.Second, b.Copy("near").EjectionLeft(at(ms)))
}

func TestExpectedLatencyOfSlowReplica(t *testing.T) {
	var b copies.Board
	for n := range 4 {
		request(&b, 30*n, "near", 10*typical, copies.TimedOut)
	}
	assert.Greater(t, b.ExpectedLatency(at(190), pair()[0], typical), 3*typical)
	assert.Less(t, b.ExpectedLatency(at(190), pair()[1], typical), 2*typical)
}

// TestChooseAvoidsPausedReplicas replays targets that pause for 100 ms each 2.4 s at
// different times, under 45 requests a second: few requests may be sent to a
// copy that pauses.
func TestChooseAvoidsPausedReplicas(t *testing.T) {
	met, asked := 0, 0
	for offset := 0; offset < 2400; offset += 100 {
		m, a := simulatePauses(offset)
		met, asked = met+m, asked+a
	}
	assert.Less(t, float64(met)/float64(asked), 0.025, "of 0.042 of the time that a copy pauses")
}

type inFlightRequest struct {
	id     string
	token  uint64
	doneAt int
}

// simulatePauses returns how many of the requests were sent to a paused copy, when the
// far copy pauses a while after the near one.
func simulatePauses(offset int) (met, asked int) {
	var b copies.Board
	r := source()
	var under []inFlightRequest
	for ms := range 24_000 {
		under = slices.DeleteFunc(under, func(o inFlightRequest) bool {
			if o.doneAt > ms {
				return false
			}
			b.End(at(ms), o.id, o.token, copies.Answered, typical)
			return true
		})
		if ms%22 != 0 {
			continue
		}
		i := b.Choose(at(ms), pair(), r)
		left := max(0, 100-(ms+i*offset)%2400)
		asked++
		if left > 0 {
			met++
		}
		id := pair()[i].ID
		under = append(under, inFlightRequest{id, b.Begin(at(ms), id, typical), ms + left + 8})
	}
	return met, asked
}

package replicas_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/replicas"
)

const typical = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pair() []replicas.Candidate {
	return []replicas.Candidate{{ID: "local", Slots: 2, Local: true}, {ID: "remote", Slots: 2}}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// request records a request to a replica that ends with the result after the latency.
func request(tracker *replicas.Tracker, ms int, id string, latency time.Duration, r replicas.Result) {
	token := tracker.Begin(at(ms), id, typical)
	tracker.End(at(ms).Add(latency), id, token, r, typical)
}

func TestChoosePrefersLocalReplica(t *testing.T) {
	var tracker replicas.Tracker
	r := source()
	for ms := range 200 {
		assert.Equal(t, 0, tracker.Choose(at(ms), pair(), r))
		request(&tracker, ms, "local", time.Duration(8+ms%5)*time.Millisecond, replicas.Answered)
	}
}

func TestChoosePrefersWarmReplicas(t *testing.T) {
	var tracker replicas.Tracker
	candidates := pair()
	candidates[0].Warming, candidates[0].Local, candidates[1].Local = true, true, true
	assert.Equal(t, 1, tracker.Choose(at(0), candidates, source()))
	assert.Equal(t, 0, tracker.Choose(at(0), candidates[:1], source()), "a warming replica is better than none")
	candidates[1].RateLimited = true
	assert.Equal(t, 0, tracker.Choose(at(0), candidates, source()))
}

func TestChooseAvoidsReplicaWithOverdueAnswer(t *testing.T) {
	var tracker replicas.Tracker
	token := tracker.Begin(at(0), "local", typical)
	assert.Equal(t, 0, tracker.Choose(at(20), pair(), source()))
	assert.Equal(t, 1, tracker.Choose(at(40), pair(), source()), "three typical latencies have passed")
	tracker.End(at(100), "local", token, replicas.Abandoned, typical)
}

func TestChooseAvoidsSlowReplicaAndReturnsToIt(t *testing.T) {
	var tracker replicas.Tracker
	requests := 0
	for ms := 0; tracker.Choose(at(ms), pair(), source()) == 0; ms += 100 {
		request(&tracker, ms, "local", 8*typical, replicas.Answered)
		requests++
	}
	assert.LessOrEqual(t, requests, 3)
	later := at(requests*100 + 6000)
	assert.Equal(t, 0, tracker.Choose(later, pair(), source()), "the observed slowdown has decayed")
}

func TestChooseAvoidsFailingReplica(t *testing.T) {
	var tracker replicas.Tracker
	requests := 0
	for ms := 0; tracker.Choose(at(ms), pair(), source()) == 0; ms += 20 {
		request(&tracker, ms, "local", typical, replicas.Failed)
		requests++
	}
	assert.LessOrEqual(t, requests, 2)
}

// TestChooseAvoidsReplicaThatShedsSomeRequests simulates a replica that refuses six in
// ten requests for nine seconds although it is not overloaded. The other replica must
// get its requests, so that few of them need a retry.
func TestChooseAvoidsReplicaThatShedsSomeRequests(t *testing.T) {
	var tracker replicas.Tracker
	r := source()
	refused, requests := 0, 0
	for ms := 0; ms < 9000; ms += 50 {
		requests++
		if tracker.Choose(at(ms), pair(), r) != 0 {
			request(&tracker, ms, "remote", typical, replicas.Answered)
			continue
		}
		result := replicas.Answered
		if r.IntN(10) < 6 {
			result = replicas.Shed
			refused++
		}
		request(&tracker, ms, "local", time.Millisecond, result)
	}
	assert.Less(t, float64(refused)/float64(requests), 0.1)
}

func TestChoosePrefersReplicaThatFailsLess(t *testing.T) {
	var tracker replicas.Tracker
	for ms := range 40 {
		request(&tracker, ms, "local", typical, replicas.Failed)
		request(&tracker, ms, "remote", typical, replicas.Result(ms%2*int(replicas.Failed)))
	}
	assert.Equal(t, 1, tracker.Choose(at(60), pair(), source()))
}

func TestUnreachableReplicaIsEjectedAndProbedByOneRequest(t *testing.T) {
	var tracker replicas.Tracker
	one := pair()[:1]
	request(&tracker, 0, "local", 0, replicas.Unreachable)
	assert.Equal(t, -1, tracker.Choose(at(1), one, source()))
	assert.Equal(t, 0, tracker.Choose(at(250), one, source()))
	token := tracker.Begin(at(250), "local", typical)
	assert.Equal(t, -1, tracker.Choose(at(251), one, source()), "one request at a time probes the replica")
	tracker.End(at(260), "local", token, replicas.Answered, typical)
	assert.Equal(t, 0, tracker.Choose(at(261), one, source()))
}

func TestEjectionGrowsAndIsBounded(t *testing.T) {
	var tracker replicas.Tracker
	ms := 0
	for range 8 {
		request(&tracker, ms, "local", 0, replicas.Unreachable)
		ms += int(tracker.Replica("local").EjectionLeft(at(ms)).Milliseconds()) + 1
	}
	request(&tracker, ms, "local", 0, replicas.Unreachable)
	assert.Equal(t, 2*time.Second, tracker.Replica("local").EjectionLeft(at(ms)))
}

// TestChooseAvoidsPausedReplicas simulates targets that pause for 100 ms every 2.4 s at
// different times, under 45 requests a second. Each target is paused for a share of
// 0.042 of the time; a smaller share of the requests must be sent to a paused target.
func TestChooseAvoidsPausedReplicas(t *testing.T) {
	paused, total := 0, 0
	for offset := 0; offset < 2400; offset += 100 {
		p, n := simulatePauses(offset)
		paused, total = paused+p, total+n
	}
	assert.Less(t, float64(paused)/float64(total), 0.025, "a replica is paused for 0.042 of the time")
}

type inFlightRequest struct {
	id     string
	token  uint64
	doneAt int
}

// simulatePauses returns how many of the requests were sent to a paused replica. The
// remote replica pauses offset milliseconds before the local one.
func simulatePauses(offset int) (paused, total int) {
	var tracker replicas.Tracker
	r := source()
	var inFlight []inFlightRequest
	for ms := range 24_000 {
		inFlight = slices.DeleteFunc(inFlight, func(f inFlightRequest) bool {
			if f.doneAt > ms {
				return false
			}
			tracker.End(at(ms), f.id, f.token, replicas.Answered, typical)
			return true
		})
		if ms%22 != 0 {
			continue
		}
		i := tracker.Choose(at(ms), pair(), r)
		pauseLeft := max(0, 100-(ms+i*offset)%2400)
		total++
		if pauseLeft > 0 {
			paused++
		}
		id := pair()[i].ID
		inFlight = append(inFlight, inFlightRequest{id, tracker.Begin(at(ms), id, typical), ms + pauseLeft + 8})
	}
	return paused, total
}

package replicas_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/replicas"
)

const usual = 10 * time.Millisecond

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func pair() []replicas.Candidate {
	return []replicas.Candidate{{ID: "near", Slots: 2, Near: true}, {ID: "far", Slots: 2}}
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// ask sends one request to a copy and lets it take a time.
func ask(b *replicas.Tracker, ms int, id string, took time.Duration, r replicas.Result) {
	token := b.Begin(at(ms), id, usual)
	b.End(at(ms).Add(took), id, token, r, usual)
}

func TestPrefersTheNearCopy(t *testing.T) {
	var b replicas.Tracker
	r := source()
	for ms := range 200 {
		assert.Equal(t, 0, b.Choose(at(ms), pair(), r))
		ask(&b, ms, "near", time.Duration(8+ms%5)*time.Millisecond, replicas.Answered)
	}
}

func TestPrefersCopiesThatHaveRunForAWhile(t *testing.T) {
	var b replicas.Tracker
	near := pair()
	near[0].Fresh, near[0].Near, near[1].Near = true, true, true
	assert.Equal(t, 1, b.Choose(at(0), near, source()))
	assert.Equal(t, 0, b.Choose(at(0), near[:1], source()), "one that has just started is better than none")
	near[1].Cold = true
	assert.Equal(t, 0, b.Choose(at(0), near, source()))
}

func TestAvoidsACopyWhoseAnswerIsOverdue(t *testing.T) {
	var b replicas.Tracker
	token := b.Begin(at(0), "near", usual)
	assert.Equal(t, 0, b.Choose(at(20), pair(), source()))
	assert.Equal(t, 1, b.Choose(at(40), pair(), source()), "three usual latencies have passed")
	b.End(at(100), "near", token, replicas.Abandoned, usual)
}

func TestLeavesASlowCopyWithinFewAnswersAndComesBack(t *testing.T) {
	var b replicas.Tracker
	asked := 0
	for ms := 0; b.Choose(at(ms), pair(), source()) == 0; ms += 100 {
		ask(&b, ms, "near", 8*usual, replicas.Answered)
		asked++
	}
	assert.LessOrEqual(t, asked, 3)
	later := at(asked*100 + 6000)
	assert.Equal(t, 0, b.Choose(later, pair(), source()), "the memory of its slowness has faded")
}

func TestLeavesACopyThatFails(t *testing.T) {
	var b replicas.Tracker
	asked := 0
	for ms := 0; b.Choose(at(ms), pair(), source()) == 0; ms += 20 {
		ask(&b, ms, "near", usual, replicas.Failed)
		asked++
	}
	assert.LessOrEqual(t, asked, 2)
}

// TestLeavesACopyThatShedsAPartOfItsRequests replays a copy that refuses six in
// ten requests for nine seconds though it has room: the other one takes its
// requests, so that few need a second send.
func TestLeavesACopyThatShedsAPartOfItsRequests(t *testing.T) {
	var b replicas.Tracker
	r := source()
	refused, asked := 0, 0
	for ms := 0; ms < 9000; ms += 50 {
		asked++
		if b.Choose(at(ms), pair(), r) != 0 {
			ask(&b, ms, "far", usual, replicas.Answered)
			continue
		}
		result := replicas.Answered
		if r.IntN(10) < 6 {
			result = replicas.Shed
			refused++
		}
		ask(&b, ms, "near", time.Millisecond, result)
	}
	assert.Less(t, float64(refused)/float64(asked), 0.1)
}

func TestAsksTheBetterOfTwoThatFail(t *testing.T) {
	var b replicas.Tracker
	for ms := range 40 {
		ask(&b, ms, "near", usual, replicas.Failed)
		ask(&b, ms, "far", usual, replicas.Result(ms%2*int(replicas.Failed)))
	}
	assert.Equal(t, 1, b.Choose(at(60), pair(), source()))
}

func TestRestsACopyThatCannotBeReachedAndTriesItOnce(t *testing.T) {
	var b replicas.Tracker
	one := pair()[:1]
	ask(&b, 0, "near", 0, replicas.Lost)
	assert.Equal(t, -1, b.Choose(at(1), one, source()))
	assert.Equal(t, 0, b.Choose(at(250), one, source()))
	token := b.Begin(at(250), "near", usual)
	assert.Equal(t, -1, b.Choose(at(251), one, source()), "one request at a time tries it")
	b.End(at(260), "near", token, replicas.Answered, usual)
	assert.Equal(t, 0, b.Choose(at(261), one, source()))
}

func TestRestGrowsAndIsBounded(t *testing.T) {
	var b replicas.Tracker
	ms := 0
	for range 8 {
		ask(&b, ms, "near", 0, replicas.Lost)
		ms += int(b.Replica("near").RestLeft(at(ms)).Milliseconds()) + 1
	}
	ask(&b, ms, "near", 0, replicas.Lost)
	assert.Equal(t, 2*time.Second, b.Replica("near").RestLeft(at(ms)))
}

func TestExpectsASlowCopyToBeLate(t *testing.T) {
	var b replicas.Tracker
	for n := range 4 {
		ask(&b, 30*n, "near", 10*usual, replicas.Slow)
	}
	assert.Greater(t, b.Expected(at(190), pair()[0], usual), 3*usual)
	assert.Less(t, b.Expected(at(190), pair()[1], usual), 2*usual)
}

// TestPausesAreRoutedAround replays targets that pause for 100 ms each 2.4 s at
// different times, under 45 requests a second: few requests may be sent to a
// copy that pauses.
func TestPausesAreRoutedAround(t *testing.T) {
	met, asked := 0, 0
	for offset := 0; offset < 2400; offset += 100 {
		m, a := pauses(offset)
		met, asked = met+m, asked+a
	}
	assert.Less(t, float64(met)/float64(asked), 0.025, "of 0.042 of the time that a copy pauses")
}

type open struct {
	id    string
	token uint64
	done  int
}

// pauses returns how many of the requests were sent to a paused copy, when the
// far copy pauses a while after the near one.
func pauses(offset int) (met, asked int) {
	var b replicas.Tracker
	r := source()
	var under []open
	for ms := range 24_000 {
		under = slices.DeleteFunc(under, func(o open) bool {
			if o.done > ms {
				return false
			}
			b.End(at(ms), o.id, o.token, replicas.Answered, usual)
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
		under = append(under, open{id, b.Begin(at(ms), id, usual), ms + left + 8})
	}
	return met, asked
}

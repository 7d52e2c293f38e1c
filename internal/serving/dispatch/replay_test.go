package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/dispatch"
)

// replay drives the queues of some hosts against one simulated target. The target serves
// requests in the order of their arrival, holds a few that wait for a slot and refuses
// more, and stops the work on a request at its time limit. Time advances in steps of a
// millisecond.
type replay struct {
	random *rand.Rand
	slots  int
	// workTime is the median of the work of a request, and timeLimit the time that a
	// request has on its arrival at a host.
	workTime, timeLimit time.Duration
	// perSecond is the rate of arrivals at all hosts together.
	perSecond float64
	queues    []dispatch.Queue[*request]
	// atTarget holds the requests at the target: as many as it has slots are in work.
	atTarget []*request
	// arrived and served count the requests and those answered in time.
	arrived, served int
}

type request struct {
	host           int
	sentAt         time.Time
	expiresAt      time.Time
	work, workDone time.Duration
}

// targetQueue is the number of requests that wait at the target for a slot.
const targetQueue = 12

// unlimited is a capacity that no request has to wait for.
const unlimited = math.MaxInt

// load is the load of a target and its capacity.
type load struct {
	hosts, slots int
	workTime     time.Duration
	perSecond    float64
}

func newReplay(l load) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(1, 1)), slots: l.slots, workTime: l.workTime, timeLimit: 86 * time.Millisecond,
		perSecond: l.perSecond, queues: make([]dispatch.Queue[*request], l.hosts),
	}
	for i := range r.queues {
		r.queues[i].Reset(unlimited)
	}
	return r
}

// run replays some time and returns the share of the requests that were served in time.
func (r *replay) run(from time.Time, length time.Duration, limited bool) float64 {
	r.arrived, r.served = 0, 0
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		r.endWork(now)
		for p := r.perSecond / 1000; r.random.Float64() < p; p-- {
			r.arrive(now, limited)
		}
	}
	return float64(r.served) / float64(r.arrived)
}

func (r *replay) arrive(now time.Time, limited bool) {
	r.arrived++
	q := &request{
		host: r.random.IntN(len(r.queues)), expiresAt: now.Add(r.timeLimit),
		work: time.Duration(float64(r.workTime) * math.Exp(0.35*r.random.NormFloat64())),
	}
	if !limited || r.queues[q.host].Enter(q, q.expiresAt) {
		r.send(now, q, limited)
	}
}

func (r *replay) send(now time.Time, q *request, limited bool) {
	q.sentAt = now
	if len(r.atTarget) >= r.slots+targetQueue {
		r.leave(now, q, limited, false, 0)
		return
	}
	r.atTarget = append(r.atTarget, q)
}

// endWork advances the work by a millisecond and ends the requests that are done or whose
// time has passed.
func (r *replay) endWork(now time.Time) {
	var ended []*request
	inWork := 0
	r.atTarget = slices.DeleteFunc(r.atTarget, func(q *request) bool {
		if inWork < r.slots {
			inWork++
			q.workDone += time.Millisecond
		}
		if q.workDone < q.work && now.Before(q.expiresAt) {
			return false
		}
		ended = append(ended, q)
		return true
	})
	for _, q := range ended {
		served := q.workDone >= q.work
		if served {
			r.served++
		}
		fraction := float64(now.Sub(q.sentAt)) / float64(q.expiresAt.Sub(q.sentAt))
		r.leave(now, q, true, served, fraction)
	}
}

// leave ends a request at its host and sends the next one.
func (r *replay) leave(now time.Time, q *request, limited, answered bool, fraction float64) {
	queue := &r.queues[q.host]
	if !limited || queue.InFlight() == 0 {
		return
	}
	queue.Leave(now, answered, fraction)
	for {
		next, ok := queue.Next(now)
		if !ok {
			return
		}
		r.send(now, next, limited)
	}
}

// TestReplayTargetTooSlowForItsLoad replays a target that has become so slow that it can
// serve a third of the requests of two hosts, or fewer. It must still serve half of those
// that it can, after a second in which the hosts learn of it. Without a limit it serves at
// most two thirds of that, as most requests start when their time is nearly over.
func TestReplayTargetTooSlowForItsLoad(t *testing.T) {
	for _, test := range []load{
		{2, 2, 60 * time.Millisecond, 90},
		{2, 6, 50 * time.Millisecond, 400},
		{3, 8, 40 * time.Millisecond, 700},
		{1, 1, 30 * time.Millisecond, 100},
	} {
		possible := float64(test.slots) / test.workTime.Seconds() / test.perSecond
		share := func(limited bool) float64 {
			r := newReplay(test)
			r.run(start, time.Second, limited)
			return r.run(start.Add(time.Second), 20*time.Second, limited)
		}
		name := fmt.Sprintf("%+v, can serve %.2f", test, possible)
		assert.Greater(t, share(true), possible/2, name)
		assert.Less(t, share(false), share(true)*2/3, name)
	}
}

// TestReplayTargetWithRoom replays targets at half of their capacity: the queue must not
// hold requests back. It also replays the second after a slow target has recovered.
func TestReplayTargetWithRoom(t *testing.T) {
	for _, test := range []load{
		{2, 2, 11 * time.Millisecond, 90},
		{6, 64, 20 * time.Millisecond, 1600},
		{1, 1, 4 * time.Millisecond, 125},
	} {
		r := newReplay(test)
		assert.Greater(t, r.run(start, 20*time.Second, true), 0.98, "%+v", test)
		r.workTime = 6 * test.workTime
		r.run(start.Add(20*time.Second), 5*time.Second, true)
		r.workTime = test.workTime
		r.run(start.Add(25*time.Second), 200*time.Millisecond, true)
		assert.Greater(t, r.run(start.Add(25200*time.Millisecond), time.Second, true), 0.95, "%+v", test)
	}
}

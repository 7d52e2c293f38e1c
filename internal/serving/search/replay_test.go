package search_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

// replayTarget is a target of a replay: it takes the work time for each request, pauses
// periodically and refuses a share of the requests at once. If it has slots, requests wait
// for a free one in the order of their arrival, at most until their time limit.
type replayTarget struct {
	// slots holds the times at which the slots become free.
	slots        []time.Time
	id           string
	pauseOffset  time.Duration
	pauseLength  time.Duration
	pausePeriod  time.Duration
	slowness     float64
	refusedShare float64
}

// answer returns when a request with a time limit that arrives at a time is answered, and
// its outcome.
func (t *replayTarget) answer(now, limit time.Time, work time.Duration, random *rand.Rand) (time.Time, search.Outcome) {
	if len(t.slots) > 0 {
		return t.queue(now, limit, time.Duration(float64(work)*(0.5+random.ExpFloat64()/2)))
	}
	if random.Float64() < t.refusedShare {
		return now.Add(time.Millisecond), search.NotRun
	}
	if t.pausePeriod > 0 {
		if into := (now.Sub(start) + t.pauseOffset) % t.pausePeriod; into < t.pauseLength {
			now = now.Add(t.pauseLength - into)
		}
	}
	return now.Add(time.Duration(float64(work) * t.slowness)), search.Good
}

// queue returns when a request is answered that waits for a slot.
func (t *replayTarget) queue(now, limit time.Time, work time.Duration) (time.Time, search.Outcome) {
	free := 0
	for i, at := range t.slots {
		if at.Before(t.slots[free]) {
			free = i
		}
	}
	began := t.slots[free]
	if began.Before(now) {
		began = now
	}
	if began.After(limit) {
		return limit, search.NotRun
	}
	t.slots[free] = began.Add(work)
	return t.slots[free], search.Good
}

// replayEnd is the end of an attempt in a replay.
type replayEnd struct {
	at      time.Time
	search  *replaySearch
	attempt search.Attempt
	outcome search.Outcome
	token   uint64
}

// replaySearch is a search of a replay and its chooser.
type replaySearch struct {
	search.Search
	replay *replay
	now    time.Time
	plan   search.Plan
	done   bool
}

// limit returns the time limit of a part that is sent now.
func (s *replaySearch) limit(now time.Time) time.Time {
	if now.Before(s.plan.SoftDeadline) {
		return s.plan.SoftDeadline
	}
	return s.plan.Deadline
}

// replay drives searches with the real policies against simulated targets. Time advances
// in steps of a millisecond, without sockets or goroutines.
type replay struct {
	shards  [][]*replayTarget
	tracker replicas.Tracker
	budgets []budget.TokenBucket
	random  *rand.Rand
	typical time.Duration
	ends    []replayEnd
	// covered is the number of parts answered by the soft deadline, asked the number of
	// parts, and extra the number of retries and hedges.
	covered, asked, extra int
	// lastLate is when the last search ended that missed its soft deadline.
	lastLate time.Time
	// surge is the number of searches that arrive at once at the start.
	surge int
}

// Choose implements search.Chooser.
func (s *replaySearch) Choose(part int, tried []string, from search.CandidateSet) (search.Choice, bool) {
	sets := map[bool][]replicas.Candidate{}
	for _, t := range s.replay.shards[part] {
		isTried := slices.Contains(tried, t.id)
		sets[isTried] = append(sets[isTried], replicas.Candidate{ID: t.id, Slots: 2, Local: true})
	}
	for _, isTried := range []bool{false, true} {
		if isTried && from == search.UntriedCandidates || !isTried && from == search.TriedCandidates {
			continue
		}
		if i := s.replay.tracker.Choose(s.now, sets[isTried], s.replay.random); i >= 0 {
			return search.Choice{Target: sets[isTried][i].ID}, true
		}
	}
	return search.Choice{}, false
}

// SpendRetryBudget implements search.Chooser.
func (s *replaySearch) SpendRetryBudget(part int) bool {
	return s.replay.budgets[part].TryWithdraw(s.now)
}

// send starts attempts.
func (r *replay) send(now time.Time, s *replaySearch, attempts []search.Attempt) {
	for _, a := range attempts {
		if a.Reason != search.First {
			r.extra++
		}
		i := slices.IndexFunc(r.shards[a.Part], func(t *replayTarget) bool { return t.id == a.Target })
		at, outcome := r.shards[a.Part][i].answer(now, s.limit(now), r.typical, r.random)
		r.ends = append(r.ends, replayEnd{at: at, search: s, attempt: a, outcome: outcome, token: r.tracker.Begin(now, a.Target, r.typical)})
	}
}

// endAttempts ends the attempts that are due.
func (r *replay) endAttempts(now time.Time) {
	var due []replayEnd
	r.ends = slices.DeleteFunc(r.ends, func(e replayEnd) bool {
		if e.at.After(now) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		result := replicas.Answered
		if e.outcome == search.NotRun {
			result = replicas.Shed
		}
		r.tracker.End(now, e.attempt.Target, e.token, result, r.typical)
		if e.search.done {
			continue
		}
		e.search.now = now
		next, _ := e.search.HandleOutcome(now, e.search, e.attempt, e.outcome, nil)
		r.send(now, e.search, next)
	}
}

// run sends a search each interval for some time.
func (r *replay) run(interval, length time.Duration, plan search.Plan, aim time.Duration) {
	var searches []*replaySearch
	r.budgets = make([]budget.TokenBucket, len(r.shards))
	// What is saved up is what a second of searches adds. No more than 0.2 a part and 4 are
	// allowed altogether.
	limits := budget.Limits{Ratio: 0.2, Capacity: 10, Start: 4}
	for i := range r.budgets {
		r.budgets[i].Reset(start, limits, 0)
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		r.endAttempts(now)
		arrivals := 0
		if now.Sub(start)%interval == 0 {
			arrivals = 1
		}
		if now.Equal(start) {
			arrivals += r.surge
		}
		for range arrivals {
			s := &replaySearch{replay: r, now: now, plan: plan}
			s.plan.SoftDeadline, s.plan.Deadline = now.Add(aim), now.Add(10*aim)
			s.Reset(s.plan)
			for i := range r.budgets {
				r.budgets[i].AddInitial(now)
			}
			r.send(now, s, s.Begin(now, s, nil))
			searches = append(searches, s)
		}
		searches = slices.DeleteFunc(searches, func(s *replaySearch) bool {
			s.now = now
			if s.Decide(now) == search.Wait {
				r.send(now, s, s.Tick(now, s, nil))
				return false
			}
			s.done = true
			r.asked += plan.Parts
			if now.After(s.plan.SoftDeadline) {
				r.lastLate = now
				return true
			}
			r.covered += s.Covered()
			return true
		})
	}
}

// newReplay returns a replay of shards with replicas that pause at different times.
func newReplay(seed uint64, shards, replicaCount int, pause, period time.Duration) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 1)), typical: 11 * time.Millisecond}
	for i := range shards {
		var targets []*replayTarget
		for n := range replicaCount {
			targets = append(targets, &replayTarget{
				id: fmt.Sprintf("%d-%d", i, n), pauseLength: pause, pausePeriod: period, slowness: 1,
				pauseOffset: time.Duration(r.random.Int64N(int64(period))),
			})
		}
		r.shards = append(r.shards, targets)
	}
	return r
}

func replayPlan(shards int) search.Plan {
	return search.Plan{Parts: shards, MinParts: shards * 9 / 10, MaxTargets: 2, Idempotent: true, HedgeDelay: 30 * time.Millisecond}
}

// TestReplayOneReplicaOfEachShardRefuses replays ten seconds in which one of two replicas
// of each shard refuses 45 in 100 requests although it is not overloaded, while all pause
// for 120 ms each 3 s. At most one part in 200, one search in ten, may miss the soft
// deadline, and the retry budget of 0.2 a part must hold.
func TestReplayOneReplicaOfEachShardRefuses(t *testing.T) {
	for seed := range uint64(5) {
		r := newReplay(seed, 20, 2, 120*time.Millisecond, 3*time.Second)
		for _, targets := range r.shards {
			targets[0].refusedShare = 0.45
		}
		r.run(20*time.Millisecond, 10*time.Second, replayPlan(20), 86*time.Millisecond)
		assert.Greater(t, float64(r.covered)/float64(r.asked), 0.995, "seed %d", seed)
		assert.LessOrEqual(t, float64(r.extra)/float64(r.asked), 0.2+4.0/500, "seed %d", seed)
	}
}

// TestReplayOtherShapes replays pauses alone for other numbers of shards and replicas, and
// other pauses.
func TestReplayOtherShapes(t *testing.T) {
	for _, test := range []struct {
		shards, replicas int
		pause, period    time.Duration
	}{
		{5, 2, 200 * time.Millisecond, 4500 * time.Millisecond},
		{60, 3, 60 * time.Millisecond, time.Second},
		{20, 5, 300 * time.Millisecond, 5 * time.Second},
	} {
		r := newReplay(1, test.shards, test.replicas, test.pause, test.period)
		r.run(50*time.Millisecond, 10*time.Second, replayPlan(test.shards), 86*time.Millisecond)
		assert.Greater(t, float64(r.covered)/float64(r.asked), 0.99, test)
	}
}

// TestReplayCallersReturnAtOnce replays the return of all callers after a power cut: 60
// searches at once, each for 30 shards with two replicas of two slots, beside 125 a second.
// The surge needs 165 ms of all slots. Hedges may add at most 2 in 100 parts to it, and all
// searches must be in time again within that time and half of their latency target.
func TestReplayCallersReturnAtOnce(t *testing.T) {
	const aim = 150 * time.Millisecond
	for seed := range uint64(5) {
		r := newReplay(seed, 30, 2, 0, time.Second)
		r.surge = 60
		for _, targets := range r.shards {
			for _, target := range targets {
				target.slots = make([]time.Time, 2)
			}
		}
		plan := replayPlan(30)
		plan.HedgeDelay = search.HedgeDelay(aim, 0, 0)
		r.run(8*time.Millisecond, 3*time.Second, plan, aim-14*time.Millisecond)
		assert.LessOrEqual(t, float64(r.extra)/float64(r.asked), 0.02, "seed %d", seed)
		assert.LessOrEqual(t, r.lastLate.Sub(start), 165*time.Millisecond+aim/2, "seed %d", seed)
	}
}

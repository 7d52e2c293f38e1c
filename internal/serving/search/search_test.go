package search_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/search"
)

// fleet is a chooser with the same targets for each part.
type fleet struct {
	targets     []string
	unavailable map[int]bool
	budget      int
}

func (f *fleet) Choose(part int, tried []string, from search.CandidateSet) (search.Choice, bool) {
	if f.unavailable[part] {
		return search.Choice{}, false
	}
	for _, c := range f.targets {
		if from != search.TriedCandidates && !slices.Contains(tried, c) {
			return search.Choice{Target: c}, true
		}
	}
	if from == search.UntriedCandidates || len(tried) == 0 {
		return search.Choice{}, false
	}
	return search.Choice{Target: tried[0]}, true
}

func (f *fleet) SpendRetryBudget(int) bool {
	f.budget--
	return f.budget >= 0
}

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func plan() search.Plan {
	return search.Plan{
		Parts: 4, MinParts: 3, MaxTargets: 2, Idempotent: true, HedgeDelay: 10 * time.Millisecond, SoftDeadline: at(70), Deadline: at(1000),
	}
}

func TestAnswersWithMinPartsAtSoftDeadline(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 10}
	s.Reset(plan())
	attempts := s.Begin(at(0), f, nil)
	assert.Len(t, attempts, 4)
	for _, attempt := range attempts[:3] {
		_, use := s.HandleOutcome(at(5), f, attempt, search.Good, nil)
		assert.True(t, use)
	}
	assert.Equal(t, search.Wait, s.Decide(at(69)))
	assert.Equal(t, search.Answer, s.Decide(at(70)))
	assert.Equal(t, 3, s.Covered())
}

func TestWaitsPastSoftDeadlineBelowMinParts(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 10}
	s.Reset(plan())
	attempts := s.Begin(at(0), f, nil)
	s.HandleOutcome(at(5), f, attempts[0], search.Good, nil)
	s.HandleOutcome(at(5), f, attempts[1], search.Good, nil)
	assert.Equal(t, search.Wait, s.Decide(at(500)))
	s.HandleOutcome(at(510), f, attempts[2], search.Good, nil)
	assert.Equal(t, search.Answer, s.Decide(at(510)))
}

func TestAnswersWithMinPartsWhenDeadlineIsBeforeSoftDeadline(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 10}
	p := plan()
	p.Deadline = at(60)
	s.Reset(p)
	for _, attempt := range s.Begin(at(0), f, nil)[:3] {
		s.HandleOutcome(at(5), f, attempt, search.Good, nil)
	}
	assert.Equal(t, search.Answer, s.Decide(at(60)))
}

func TestHedgesOnceToAnotherTarget(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b", "c"}, budget: 10}
	s.Reset(plan())
	s.Begin(at(0), f, nil)
	assert.Empty(t, s.Tick(at(9), f, nil))
	hedges := s.Tick(at(10), f, nil)
	assert.Len(t, hedges, 4)
	for _, h := range hedges {
		assert.Equal(t, search.Hedge, h.Reason)
		assert.Equal(t, "b", h.Target)
	}
	assert.Empty(t, s.Tick(at(30), f, nil))
}

// TestDoesNotHedgeWhileManyPartsAreUnanswered simulates a surge in which all targets are
// overloaded: hedges must wait until only few parts are unanswered.
func TestDoesNotHedgeWhileManyPartsAreUnanswered(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 100}
	p := plan()
	p.Parts, p.MinParts = 20, 18
	s.Reset(p)
	attempts := s.Begin(at(0), f, nil)
	assert.Empty(t, s.Tick(at(20), f, nil))
	for _, attempt := range attempts[:14] {
		s.HandleOutcome(at(21), f, attempt, search.Good, nil)
	}
	assert.Equal(t, at(25), s.NextTick(at(21)))
	assert.Len(t, s.Tick(at(25), f, nil), 6)
}

func TestHedgesOnlyWithinRetryBudget(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 1}
	s.Reset(plan())
	s.Begin(at(0), f, nil)
	assert.Len(t, s.Tick(at(10), f, nil), 1)
}

func TestFirstRetryAfterConnectFailureNeedsNoBudget(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}}
	p := plan()
	p.Parts, p.MinParts = 1, 1
	s.Reset(p)
	attempts := s.Begin(at(0), f, nil)
	retries, _ := s.HandleOutcome(at(1), f, attempts[0], search.NotSent, nil)
	assert.Len(t, retries, 1)
	assert.Equal(t, "b", retries[0].Target)
}

func TestRefusesOnlyRequestsThatHaveNotRun(t *testing.T) {
	f := &fleet{targets: []string{"a"}, unavailable: map[int]bool{0: true, 1: true}, budget: 10}
	var s search.Search
	s.Reset(plan())
	assert.Empty(t, s.Begin(at(0), f, nil), "three parts are needed and two have a target")
	assert.Equal(t, search.Refuse, s.Decide(at(0)))

	f.unavailable = map[int]bool{0: true}
	s.Reset(plan())
	attempts := s.Begin(at(0), f, nil)
	assert.Len(t, attempts, 3)
	f.unavailable[1] = true
	s.HandleOutcome(at(1), f, attempts[0], search.Unknown, nil)
	assert.Equal(t, search.Fail, s.Decide(at(1)), "a part has run")
}

func TestUnknownOutcomeOfNonIdempotentRequestIsFinal(t *testing.T) {
	for _, o := range []search.Outcome{search.Unknown, search.Failed} {
		f := &fleet{targets: []string{"a", "b"}, budget: 10}
		var s search.Search
		s.Reset(search.Plan{Parts: 1, MinParts: 1, MaxTargets: 2, Deadline: at(1000)})
		attempts := s.Begin(at(0), f, nil)
		retries, _ := s.HandleOutcome(at(5), f, attempts[0], o, nil)
		assert.Empty(t, retries)
		assert.Equal(t, search.Fail, s.Decide(at(5)), o)
	}
}

func TestRefusedNonIdempotentRequestIsRetriedOnAnotherTarget(t *testing.T) {
	f := &fleet{targets: []string{"a", "b"}, budget: 10}
	var s search.Search
	s.Reset(search.Plan{Parts: 1, MinParts: 1, MaxTargets: 2, Deadline: at(1000)})
	attempts := s.Begin(at(0), f, nil)
	retries, _ := s.HandleOutcome(at(5), f, attempts[0], search.NotRun, nil)
	assert.Equal(t, "b", retries[0].Target)
	assert.Equal(t, search.Wait, s.Decide(at(6)))
}

// TestRandomOutcomesKeepInvariants runs searches with random outcomes. It checks that a
// part runs on at most MaxTargets targets, that a non-idempotent request runs at most
// once, and that a refused request has not run.
func TestRandomOutcomesKeepInvariants(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		runRandomSearch(t, seed, r)
	}
}

func runRandomSearch(t *testing.T, seed uint64, r *rand.Rand) {
	p := search.Plan{
		Parts: 1 + r.IntN(6), MaxTargets: 1 + r.IntN(3), Idempotent: r.IntN(3) > 0, Deadline: at(200),
	}
	p.MinParts = 1 + r.IntN(p.Parts)
	if p.Idempotent {
		p.HedgeDelay = 10 * time.Millisecond
	}
	f := &fleet{targets: []string{"a", "b", "c"}, unavailable: map[int]bool{}, budget: r.IntN(10)}
	var s search.Search
	s.Reset(p)
	inFlight := s.Begin(at(0), f, nil)
	ran := map[int]map[string]int{}
	for ms := 0; ms <= 210; ms += 1 + r.IntN(5) {
		f.unavailable[r.IntN(p.Parts)] = r.IntN(4) == 0
		inFlight = s.Tick(at(ms), f, inFlight)
		if decision := s.Decide(at(ms)); decision != search.Wait {
			checkInvariants(t, seed, p, decision, ran, len(inFlight))
			return
		}
		if len(inFlight) == 0 || r.IntN(3) == 0 {
			continue
		}
		i := r.IntN(len(inFlight))
		attempt := inFlight[i]
		inFlight = slices.Delete(inFlight, i, i+1)
		o := search.Outcome(r.IntN(5))
		if o.MayHaveRun() {
			if ran[attempt.Part] == nil {
				ran[attempt.Part] = map[string]int{}
			}
			ran[attempt.Part][attempt.Target]++
		}
		inFlight, _ = s.HandleOutcome(at(ms), f, attempt, o, inFlight)
	}
	t.Fatalf("seed %d: no decision by the deadline", seed)
}

func checkInvariants(t *testing.T, seed uint64, p search.Plan, decision search.Decision, ran map[int]map[string]int, inFlight int) {
	for part, targets := range ran {
		assert.LessOrEqual(t, len(targets), p.MaxTargets, "seed %d part %d", seed, part)
		for _, n := range targets {
			assert.True(t, p.Idempotent || n == 1, "seed %d part %d", seed, part)
		}
	}
	if decision == search.Refuse {
		assert.Empty(t, ran, "seed %d", seed)
		assert.Zero(t, inFlight, "seed %d", seed)
	}
}

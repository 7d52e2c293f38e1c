package search_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/search"
)

// fleet is a chooser over the same copies for each part.
type fleet struct {
	copies []string
	late   map[int]bool
	none   map[int]bool
	budget int
}

func (f *fleet) Choose(part int, tried []string, from search.Pool) (search.Choice, bool) {
	if f.none[part] {
		return search.Choice{}, false
	}
	for _, c := range f.copies {
		if from != search.Tried && !slices.Contains(tried, c) {
			return search.Choice{Target: c, Late: f.late[part]}, true
		}
	}
	if from == search.Fresh || len(tried) == 0 {
		return search.Choice{}, false
	}
	return search.Choice{Target: tried[0], Late: f.late[part]}, true
}

func (f *fleet) Extra(int) bool {
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

func TestSettlesWithTheLeastPartsShortlyBeforeTheAim(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}, budget: 10}
	s.Reset(plan())
	sends := s.Begin(at(0), f, nil)
	assert.Len(t, sends, 4)
	for _, one := range sends[:3] {
		_, use := s.Ended(at(5), f, one, search.Good, nil)
		assert.True(t, use)
	}
	assert.Equal(t, search.Wait, s.Verdict(at(69)))
	assert.Equal(t, search.Answer, s.Verdict(at(70)))
	assert.Equal(t, 3, s.Covered())
}

func TestWaitsBeyondTheAimBelowTheFloor(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}, budget: 10}
	s.Reset(plan())
	sends := s.Begin(at(0), f, nil)
	s.Ended(at(5), f, sends[0], search.Good, nil)
	s.Ended(at(5), f, sends[1], search.Good, nil)
	assert.Equal(t, search.Wait, s.Verdict(at(500)))
	s.Ended(at(510), f, sends[2], search.Good, nil)
	assert.Equal(t, search.Answer, s.Verdict(at(510)))
}

func TestAnswersWithEnoughPartsWhenTheTimeEndsBeforeTheAim(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}, budget: 10}
	p := plan()
	p.Deadline = at(60)
	s.Reset(p)
	for _, one := range s.Begin(at(0), f, nil)[:3] {
		s.Ended(at(5), f, one, search.Good, nil)
	}
	assert.Equal(t, search.Answer, s.Verdict(at(60)))
}

func TestHedgesOnceAtAnotherCopy(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b", "c"}, budget: 10}
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

// TestDoesNotHedgeWhileMostPartsAreOut replays a surge in which all targets are
// busy: second sends wait until only few parts are late.
func TestDoesNotHedgeWhileMostPartsAreOut(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}, budget: 100}
	p := plan()
	p.Parts, p.MinParts = 20, 18
	s.Reset(p)
	sends := s.Begin(at(0), f, nil)
	assert.Empty(t, s.Tick(at(20), f, nil))
	for _, one := range sends[:14] {
		s.Ended(at(21), f, one, search.Good, nil)
	}
	assert.Equal(t, at(25), s.Next(at(21)))
	assert.Len(t, s.Tick(at(25), f, nil), 6)
}

func TestHedgesOnlyWithinTheBudget(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}, budget: 1}
	s.Reset(plan())
	s.Begin(at(0), f, nil)
	assert.Len(t, s.Tick(at(10), f, nil), 1)
}

func TestFirstTryAfterNoConnectionIsNotExtra(t *testing.T) {
	var s search.Search
	f := &fleet{copies: []string{"a", "b"}}
	p := plan()
	p.Parts, p.MinParts = 1, 1
	s.Reset(p)
	sends := s.Begin(at(0), f, nil)
	again, _ := s.Ended(at(1), f, sends[0], search.NotSent, nil)
	assert.Len(t, again, 1)
	assert.Equal(t, "b", again[0].Target)
}

func TestLeavesOutLatePartsOnlyWellAboveTheFloor(t *testing.T) {
	tests := []struct{ parts, least, late, want int }{
		{20, 18, 5, 19},
		{20, 15, 5, 17},
		{20, 20, 5, 20},
		{1, 1, 1, 1},
	}
	for _, test := range tests {
		f := &fleet{copies: []string{"a"}, late: map[int]bool{}}
		for i := range test.late {
			f.late[i] = true
		}
		p := plan()
		p.Parts, p.MinParts = test.parts, test.least
		var s search.Search
		s.Reset(p)
		got := len(s.Begin(at(0), f, nil))
		assert.Equal(t, test.want, got, test)
		assert.GreaterOrEqual(t, got, test.least)
	}
}

func TestRefusesOnlyWhatHasNotRun(t *testing.T) {
	f := &fleet{copies: []string{"a"}, none: map[int]bool{0: true, 1: true}, budget: 10}
	var s search.Search
	s.Reset(plan())
	assert.Empty(t, s.Begin(at(0), f, nil), "three parts are needed and two can be asked")
	assert.Equal(t, search.Refuse, s.Verdict(at(0)))

	f.none = map[int]bool{0: true}
	s.Reset(plan())
	sends := s.Begin(at(0), f, nil)
	assert.Len(t, sends, 3)
	f.none[1] = true
	s.Ended(at(1), f, sends[0], search.Unknown, nil)
	assert.Equal(t, search.Fail, s.Verdict(at(1)), "a part has run")
}

func TestUnknownOutcomeOfWhatMayRunOnceIsFinal(t *testing.T) {
	for _, o := range []search.Outcome{search.Unknown, search.Failed} {
		f := &fleet{copies: []string{"a", "b"}, budget: 10}
		var s search.Search
		s.Reset(search.Plan{Parts: 1, MinParts: 1, MaxTargets: 2, Deadline: at(1000)})
		sends := s.Begin(at(0), f, nil)
		again, _ := s.Ended(at(5), f, sends[0], o, nil)
		assert.Empty(t, again)
		assert.Equal(t, search.Fail, s.Verdict(at(5)), o)
	}
}

func TestRefusalOfWhatMayRunOnceGoesToAnotherTarget(t *testing.T) {
	f := &fleet{copies: []string{"a", "b"}, budget: 10}
	var s search.Search
	s.Reset(search.Plan{Parts: 1, MinParts: 1, MaxTargets: 2, Deadline: at(1000)})
	sends := s.Begin(at(0), f, nil)
	again, _ := s.Ended(at(5), f, sends[0], search.NotRun, nil)
	assert.Equal(t, "b", again[0].Target)
	assert.Equal(t, search.Wait, s.Verdict(at(6)))
}

// TestRandomOutcomesKeepThePromises drives searches with random outcomes and
// checks on how many targets a part runs, that what may run once runs once, and
// that a refusal is true.
func TestRandomOutcomesKeepThePromises(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 1))
		drive(t, seed, r)
	}
}

func drive(t *testing.T, seed uint64, r *rand.Rand) {
	p := search.Plan{
		Parts: 1 + r.IntN(6), MaxTargets: 1 + r.IntN(3), Idempotent: r.IntN(3) > 0, Deadline: at(200),
	}
	p.MinParts = 1 + r.IntN(p.Parts)
	if p.Idempotent {
		p.HedgeDelay = 10 * time.Millisecond
	}
	f := &fleet{copies: []string{"a", "b", "c"}, none: map[int]bool{}, late: map[int]bool{}, budget: r.IntN(10)}
	var s search.Search
	s.Reset(p)
	open := s.Begin(at(0), f, nil)
	ran := map[int]map[string]int{}
	for ms := 0; ms <= 210; ms += 1 + r.IntN(5) {
		f.none[r.IntN(p.Parts)] = r.IntN(4) == 0
		open = s.Tick(at(ms), f, open)
		if v := s.Verdict(at(ms)); v != search.Wait {
			check(t, seed, p, v, ran, len(open))
			return
		}
		if len(open) == 0 || r.IntN(3) == 0 {
			continue
		}
		i := r.IntN(len(open))
		one := open[i]
		open = slices.Delete(open, i, i+1)
		o := search.Outcome(r.IntN(5))
		if o.Ran() {
			if ran[one.Part] == nil {
				ran[one.Part] = map[string]int{}
			}
			ran[one.Part][one.Target]++
		}
		open, _ = s.Ended(at(ms), f, one, o, open)
	}
	t.Fatalf("seed %d: no verdict by the end", seed)
}

func check(t *testing.T, seed uint64, p search.Plan, v search.Verdict, ran map[int]map[string]int, open int) {
	for part, targets := range ran {
		assert.LessOrEqual(t, len(targets), p.MaxTargets, "seed %d part %d", seed, part)
		for _, n := range targets {
			assert.True(t, p.Idempotent || n == 1, "seed %d part %d", seed, part)
		}
	}
	if v == search.Refuse {
		assert.Empty(t, ran, "seed %d", seed)
		assert.Zero(t, open, "seed %d", seed)
	}
}

package search_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/search"
)

// onePart returns a plan of one idempotent part.
func onePart() search.Plan {
	p := plan()
	p.Parts, p.MinParts = 1, 1
	return p
}

// TestRefusedHedgeIsSentAgain simulates a shard with one paused replica and one that
// refuses requests at random: the part must be sent to the second one until it is
// accepted, instead of waiting for the first one to the end.
func TestRefusedHedgeIsSentAgain(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"paused", "refusing"}, budget: 10}
	s.Reset(onePart())
	s.Begin(at(0), f, nil)
	hedges := s.Tick(at(10), f, nil)
	assert.Len(t, hedges, 1)
	assert.Equal(t, "refusing", hedges[0].Target)
	again, _ := s.HandleOutcome(at(11), f, hedges[0], search.NotRun, nil)
	assert.Empty(t, again, "not at once")
	assert.Equal(t, at(16), s.NextTick(at(11)))
	hedges = s.Tick(at(16), f, nil)
	assert.Len(t, hedges, 1)
	assert.Equal(t, "refusing", hedges[0].Target)
	s.HandleOutcome(at(20), f, hedges[0], search.Good, nil)
	assert.Equal(t, search.Answer, s.Decide(at(20)))
}

// TestHedgeWaitsForReplica simulates a replica that is ejected for a short time when the
// hedge is due, and a retry budget that is empty at that time.
func TestHedgeWaitsForReplica(t *testing.T) {
	for _, test := range []struct {
		name  string
		block func(f *fleet)
		free  func(f *fleet)
	}{
		{"ejected", func(f *fleet) { f.unavailable[0] = true }, func(f *fleet) { f.unavailable[0] = false }},
		{"budget empty", func(f *fleet) { f.budget = 0 }, func(f *fleet) { f.budget = 10 }},
	} {
		var s search.Search
		f := &fleet{targets: []string{"a", "b"}, budget: 10, unavailable: map[int]bool{}}
		s.Reset(onePart())
		s.Begin(at(0), f, nil)
		test.block(f)
		assert.Empty(t, s.Tick(at(10), f, nil), test.name)
		test.free(f)
		assert.Equal(t, at(15), s.NextTick(at(10)), test.name)
		assert.Len(t, s.Tick(at(15), f, nil), 1, test.name)
	}
}

// TestHedgesAreBounded refuses each hedge at once until the deadline.
func TestHedgesAreBounded(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 100}
	s.Reset(onePart())
	s.Begin(at(0), f, nil)
	sent := 0
	for ms := 10; ms < 1000; ms++ {
		for _, h := range s.Tick(at(ms), f, nil) {
			sent++
			s.HandleOutcome(at(ms), f, h, search.NotRun, nil)
		}
	}
	assert.Equal(t, 4, sent, "five attempts in all")
}

// TestNoSecondAttemptForOneTarget checks that a part that may run on one target only is
// not hedged.
func TestNoSecondAttemptForOneTarget(t *testing.T) {
	var s search.Search
	f := &fleet{targets: []string{"a", "b"}, budget: 100}
	p := onePart()
	p.MaxTargets = 1
	s.Reset(p)
	s.Begin(at(0), f, nil)
	assert.Empty(t, s.Tick(at(30), f, nil))
	assert.Equal(t, p.SoftDeadline, s.NextTick(at(30)))
}

package query_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"fescuerill/query"
	"fescuerill/snapshot"
)

var began = time.Unix(1_700_000_000, 0)

// inOrder chooses the first holder that is not excluded.
type inOrder struct{}

func (inOrder) Pick(holders []string, skip func(string) bool) string {
	for _, h := range holders {
		if !skip(h) {
			return h
		}
	}
	return ""
}

func (c inOrder) PickHedge(holders []string, skip func(string) bool) string {
	return c.Pick(holders, skip)
}

type purse int

func (p *purse) TryWithdraw(string, bool) bool {
	*p--
	return *p >= 0
}

// chart returns the map of a snapshot of services with two targets each.
func chart(services, shards int) *snapshot.ShardMap {
	var c snapshot.Catalog
	var list []snapshot.Service
	held := make([]int, shards)
	for i := range held {
		held[i] = i
	}
	for i := range services {
		s := snapshot.Service{Path: fmt.Sprintf("g/s%03d", i)}
		for _, t := range []string{"/a", "/b"} {
			s.Targets = append(s.Targets, s.Path+t)
			c.Update(s.Path+t, 1, []snapshot.Holding{snapshot.NewHolding(7, shards, held)})
		}
		list = append(list, s)
	}
	return c.BestShardMap(list, 0, func(string) bool { return true })
}

func newQuery(m *snapshot.ShardMap, budget int, hedge time.Duration) *query.Query {
	p := purse(budget)
	var q query.Query
	q.Reset(m, query.Options{Deadline: began.Add(60 * time.Millisecond), HedgeDelay: hedge, MaxHits: 3}, inOrder{}, &p, rand.New(rand.NewPCG(1, 2)))
	return &q
}

func done(a query.PartRequest, score float64) query.PartReply {
	return query.PartReply{ID: a.ID, Target: a.Target, Snapshot: 7, Outcome: query.Done, Hits: []query.Hit{{Document: a.Shard.Name(), Score: score}}}
}

func TestWholeAnswerKeepsTheBestHits(t *testing.T) {
	q := newQuery(chart(5, 1), 0, 0)
	for i, a := range append([]query.PartRequest(nil), q.Begin(began)...) {
		q.HandleReply(began, done(a, float64(i)))
	}
	assert.True(t, q.Finished())
	got := q.Answer()
	assert.Len(t, got.Coverage.Covered, 5)
	assert.Equal(t, []float64{4, 3, 2}, []float64{got.Hits[0].Score, got.Hits[1].Score, got.Hits[2].Score})
}

func TestPartOfAnotherSnapshotIsNotMerged(t *testing.T) {
	q := newQuery(chart(1, 1), 0, 0)
	told := done(q.Begin(began)[0], 1)
	told.Snapshot = 8
	q.HandleReply(began, told)
	assert.Empty(t, q.Answer().Hits)
	assert.Equal(t, []query.MissingShard{{Shard: "g/s000/0", Reason: "wrong-snapshot"}}, q.Answer().Coverage.Missing)
}

func TestCrossedAndRepeatedAnswersAreDropped(t *testing.T) {
	q := newQuery(chart(2, 1), 0, 0)
	asks := append([]query.PartRequest(nil), q.Begin(began)...)
	crossed := done(asks[0], 1)
	crossed.Target = asks[1].Target
	q.HandleReply(began, crossed)
	q.HandleReply(began, query.PartReply{ID: 9999, Target: "x", Snapshot: 7, Outcome: query.Done})
	q.HandleReply(began, done(asks[0], 1))
	q.HandleReply(began, done(asks[0], 2))
	assert.Equal(t, 3, q.Counts().MismatchedReplies)
	assert.Len(t, q.Answer().Hits, 1)
}

func TestRetryAndHedgeDrawOnTheBudget(t *testing.T) {
	shed := func(a query.PartRequest) query.PartReply {
		return query.PartReply{ID: a.ID, Target: a.Target, Outcome: query.NotRun, Reason: query.ReasonShed}
	}
	q := newQuery(chart(2, 1), 1, 0)
	asks := append([]query.PartRequest(nil), q.Begin(began)...)
	assert.Len(t, q.HandleReply(began, shed(asks[0])), 1, "the budget allows one")
	assert.Empty(t, q.HandleReply(began, shed(asks[1])), "and no second one")
	assert.Equal(t, 1, q.Counts().BudgetExhausted)

	q = newQuery(chart(2, 1), 1, 10*time.Millisecond)
	asks = append([]query.PartRequest(nil), q.Begin(began)...)
	assert.Empty(t, q.Tick(began.Add(9*time.Millisecond)))
	hedges := append([]query.PartRequest(nil), q.Tick(began.Add(10*time.Millisecond))...)
	assert.Len(t, hedges, 1)
	q.HandleReply(began, done(hedges[0], 1))
	assert.Equal(t, 1, q.Counts().HedgesWon)
	losers := q.RequestsToCancel(nil, false)
	assert.Equal(t, asks[0].ID, losers[0].ID, "the loser is to be cancelled")
}

func TestRetryWithoutTouchingATargetIsFree(t *testing.T) {
	q := newQuery(chart(1, 1), 0, 0)
	a := q.Begin(began)[0]
	next := q.HandleReply(began, query.PartReply{ID: a.ID, Target: a.Target, Outcome: query.NotRun, Reason: query.ReasonUnowned, NotDelivered: true})
	assert.Len(t, next, 1)
	assert.NotEqual(t, a.Target, next[0].Target)
}

// TestCoverageIsTrue drives a query with random answers: the coverage names
// each shard once, and covers exactly those of which a true answer came.
func TestCoverageIsTrue(t *testing.T) {
	m := chart(6, 2)
	rapid.Check(t, func(t *rapid.T) {
		q := newQuery(m, rapid.IntRange(0, 10).Draw(t, "budget"), 5*time.Millisecond)
		now := began
		open := append([]query.PartRequest(nil), q.Begin(now)...)
		covered := map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(open) == 0 {
				break
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "ask")
			told := done(open[i], rapid.Float64Range(0, 9).Draw(t, "score"))
			told.Outcome = rapid.SampledFrom([]query.Outcome{query.Done, query.NotRun, query.Unknown}).Draw(t, "outcome")
			told.Reason = rapid.SampledFrom([]string{query.ReasonShed, query.ReasonTargetLost}).Draw(t, "reason")
			if told.Outcome == query.Done {
				covered[open[i].Shard.Name()] = true
			}
			open = append(open[:i], open[i+1:]...)
			open = append(open, q.HandleReply(now, told)...)
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond)
			open = append(open, q.Tick(now)...)
		}
		c := q.Answer().Coverage
		seen := map[string]int{}
		for _, name := range c.Covered {
			seen[name]++
			if !covered[name] {
				t.Fatalf("%s is said to be covered and was not answered", name)
			}
		}
		for _, one := range c.Missing {
			seen[one.Shard]++
			if covered[one.Shard] || one.Reason == "" {
				t.Fatalf("%s is said to be missing (%q) and was answered", one.Shard, one.Reason)
			}
		}
		if len(seen) != 12 || len(c.Covered)+len(c.Missing) != 12 {
			t.Fatalf("coverage names %d shards: %v", len(seen), c)
		}
		if q.Finished() && len(open) > 0 {
			for _, a := range open {
				if !covered[a.Shard.Name()] {
					t.Fatalf("finished with %s under way", a.Shard.Name())
				}
			}
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{20, 100, 920} {
		m := chart(shards/2, 2)
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q := newQuery(m, 0, 10*time.Millisecond)
				for _, a := range append([]query.PartRequest(nil), q.Begin(began)...) {
					q.HandleReply(began, done(a, float64(a.ID)))
				}
				q.Answer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/part")
		})
	}
}

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

// orderedPicker picks the first holder that is not excluded.
type orderedPicker struct{}

func (orderedPicker) Pick(holders []string, skip func(string) bool) string {
	for _, h := range holders {
		if !skip(h) {
			return h
		}
	}
	return ""
}

func (p orderedPicker) PickHedge(holders []string, skip func(string) bool) string {
	return p.Pick(holders, skip)
}

type fixedBudget int

func (b *fixedBudget) TryWithdraw(string, bool) bool {
	*b--
	return *b >= 0
}

// shardMap returns the shard map of a snapshot of services with two targets each.
func shardMap(services, shards int) *snapshot.ShardMap {
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

func newQuery(m *snapshot.ShardMap, budget int, hedgeDelay time.Duration) *query.Query {
	b := fixedBudget(budget)
	var q query.Query
	q.Reset(m, query.Options{Deadline: began.Add(60 * time.Millisecond), HedgeDelay: hedgeDelay, MaxHits: 3}, orderedPicker{}, &b, rand.New(rand.NewPCG(1, 2)))
	return &q
}

func answered(r query.PartRequest, score float64) query.PartReply {
	return query.PartReply{ID: r.ID, Target: r.Target, Snapshot: 7, Outcome: query.Done, Hits: []query.Hit{{Document: r.Shard.Name(), Score: score}}}
}

func TestCompleteAnswerKeepsBestHits(t *testing.T) {
	q := newQuery(shardMap(5, 1), 0, 0)
	for i, r := range append([]query.PartRequest(nil), q.Begin(began)...) {
		q.HandleReply(began, answered(r, float64(i)))
	}
	assert.True(t, q.Finished())
	got := q.Answer()
	assert.Len(t, got.Coverage.Covered, 5)
	assert.Equal(t, []float64{4, 3, 2}, []float64{got.Hits[0].Score, got.Hits[1].Score, got.Hits[2].Score})
}

func TestReplyFromOtherSnapshotIsNotMerged(t *testing.T) {
	q := newQuery(shardMap(1, 1), 0, 0)
	reply := answered(q.Begin(began)[0], 1)
	reply.Snapshot = 8
	q.HandleReply(began, reply)
	assert.Empty(t, q.Answer().Hits)
	assert.Equal(t, []query.MissingShard{{Shard: "g/s000/0", Reason: "wrong-snapshot"}}, q.Answer().Coverage.Missing)
}

func TestMismatchedAndDuplicateRepliesAreDropped(t *testing.T) {
	q := newQuery(shardMap(2, 1), 0, 0)
	requests := append([]query.PartRequest(nil), q.Begin(began)...)
	mismatched := answered(requests[0], 1)
	mismatched.Target = requests[1].Target
	q.HandleReply(began, mismatched)
	q.HandleReply(began, query.PartReply{ID: 9999, Target: "x", Snapshot: 7, Outcome: query.Done})
	q.HandleReply(began, answered(requests[0], 1))
	q.HandleReply(began, answered(requests[0], 2))
	assert.Equal(t, 3, q.Counts().MismatchedReplies)
	assert.Len(t, q.Answer().Hits, 1)
}

func TestRetryAndHedgeUseBudget(t *testing.T) {
	shed := func(r query.PartRequest) query.PartReply {
		return query.PartReply{ID: r.ID, Target: r.Target, Outcome: query.NotRun, Reason: query.ReasonShed}
	}
	q := newQuery(shardMap(2, 1), 1, 0)
	requests := append([]query.PartRequest(nil), q.Begin(began)...)
	assert.Len(t, q.HandleReply(began, shed(requests[0])), 1, "the budget allows one retry")
	assert.Empty(t, q.HandleReply(began, shed(requests[1])), "the budget is exhausted")
	assert.Equal(t, 1, q.Counts().BudgetExhausted)

	q = newQuery(shardMap(2, 1), 1, 10*time.Millisecond)
	requests = append([]query.PartRequest(nil), q.Begin(began)...)
	assert.Empty(t, q.Tick(began.Add(9*time.Millisecond)))
	hedges := append([]query.PartRequest(nil), q.Tick(began.Add(10*time.Millisecond))...)
	assert.Len(t, hedges, 1)
	q.HandleReply(began, answered(hedges[0], 1))
	assert.Equal(t, 1, q.Counts().HedgesWon)
	toCancel := q.RequestsToCancel(nil, false)
	assert.Equal(t, requests[0].ID, toCancel[0].ID, "the slower request must be cancelled")
}

// TestLastAttemptLeavesBudget has more holders of a shard than requests that a query sends
// for one, and all of them shed. The budget must be charged for the requests that were sent
// only, and the shard given up with the last one.
func TestLastAttemptLeavesBudget(t *testing.T) {
	const sent = 16
	var c snapshot.Catalog
	s := snapshot.Service{Path: "g/s000"}
	for n := range sent + 4 {
		target := fmt.Sprintf("g/s000/%02d", n)
		s.Targets = append(s.Targets, target)
		c.Update(target, 1, []snapshot.Holding{snapshot.NewHolding(7, 1, []int{0})})
	}
	q := newQuery(c.BestShardMap([]snapshot.Service{s}, 0, func(string) bool { return true }), 100, 0)
	requests := q.Begin(began)
	n := 0
	for ; len(requests) > 0; n++ {
		r := requests[0]
		requests = q.HandleReply(began, query.PartReply{ID: r.ID, Target: r.Target, Outcome: query.NotRun, Reason: query.ReasonShed})
	}
	assert.Equal(t, sent, n)
	assert.Equal(t, sent-1, q.Counts().Additional)
	assert.True(t, q.Finished())
}

func TestRetryOfUndeliveredRequestIsFree(t *testing.T) {
	q := newQuery(shardMap(1, 1), 0, 0)
	r := q.Begin(began)[0]
	next := q.HandleReply(began, query.PartReply{ID: r.ID, Target: r.Target, Outcome: query.NotRun, Reason: query.ReasonUnowned, NotDelivered: true})
	assert.Len(t, next, 1)
	assert.NotEqual(t, r.Target, next[0].Target)
}

// TestCoverageMatchesReplies sends random replies to a query. The coverage must list each
// shard once and report as covered exactly those with a successful reply.
func TestCoverageMatchesReplies(t *testing.T) {
	m := shardMap(6, 2)
	rapid.Check(t, func(t *rapid.T) {
		q := newQuery(m, rapid.IntRange(0, 10).Draw(t, "budget"), 5*time.Millisecond)
		now := began
		inFlight := append([]query.PartRequest(nil), q.Begin(now)...)
		covered := map[string]bool{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(inFlight) == 0 {
				break
			}
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "request")
			reply := answered(inFlight[i], rapid.Float64Range(0, 9).Draw(t, "score"))
			reply.Outcome = rapid.SampledFrom([]query.Outcome{query.Done, query.NotRun, query.Unknown}).Draw(t, "outcome")
			reply.Reason = rapid.SampledFrom([]string{query.ReasonShed, query.ReasonTargetLost}).Draw(t, "reason")
			if reply.Outcome == query.Done {
				covered[inFlight[i].Shard.Name()] = true
			}
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			inFlight = append(inFlight, q.HandleReply(now, reply)...)
			now = now.Add(time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond)
			inFlight = append(inFlight, q.Tick(now)...)
		}
		c := q.Answer().Coverage
		seen := map[string]int{}
		for _, name := range c.Covered {
			seen[name]++
			if !covered[name] {
				t.Fatalf("%s is reported as covered but was not answered", name)
			}
		}
		for _, missing := range c.Missing {
			seen[missing.Shard]++
			if covered[missing.Shard] || missing.Reason == "" {
				t.Fatalf("%s is reported as missing (%q) but was answered", missing.Shard, missing.Reason)
			}
		}
		if len(seen) != 12 || len(c.Covered)+len(c.Missing) != 12 {
			t.Fatalf("coverage lists %d shards: %v", len(seen), c)
		}
		if q.Finished() && len(inFlight) > 0 {
			for _, r := range inFlight {
				if !covered[r.Shard.Name()] {
					t.Fatalf("finished while %s is in flight", r.Shard.Name())
				}
			}
		}
	})
}

func BenchmarkMerge(b *testing.B) {
	for _, shards := range []int{20, 100, 920} {
		m := shardMap(shards/2, 2)
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q := newQuery(m, 0, 10*time.Millisecond)
				for _, r := range append([]query.PartRequest(nil), q.Begin(began)...) {
					q.HandleReply(began, answered(r, float64(r.ID)))
				}
				q.Answer()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/part")
		})
	}
}

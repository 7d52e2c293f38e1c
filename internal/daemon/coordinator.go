package daemon

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fescuerill/admission"
	"fescuerill/budget"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/serving/latency"
	"fescuerill/internal/stats"
	"fescuerill/query"
	"fescuerill/ring"
	"fescuerill/settings"
	"fescuerill/snapshot"
	"fescuerill/target"
)

// Parameters of the coordinator role.
const (
	// maxRestarts is the maximum number of times that a search is restarted
	// under a newer snapshot.
	maxRestarts = 2
	// limitDecreaseInterval is the minimum time between two reductions of the
	// admission limit because of overload.
	limitDecreaseInterval = 50 * time.Millisecond
	// overloadFraction is the fraction of the shards of a query, lost to
	// overload, above which the query counts as a sign of overload.
	overloadFraction = 0.02
	// minHedgeDelay is the minimum delay after which a part is hedged.
	minHedgeDelay = 2 * time.Millisecond
)

// coordinator is the coordinator role of a daemon.
type coordinator struct {
	id               string
	dataCentre       string
	stats            *stats.Registry
	policiesDisabled bool
	ownerFor         func(target string) ownerClient
	// isolated reports whether the host reaches neither the store nor another
	// host and must not accept requests.
	isolated   func(now time.Time) bool
	settings   atomic.Pointer[settings.Resolved]
	lastNumber atomic.Int64

	catalog   snapshot.Catalog
	observed  observedTargets
	latencies latency.Histograms
	shardMaps shardMapCache

	// mu guards the limiter, the retry budgets by service, and the inboxes,
	// which receive the replies to running queries, by query number.
	mu      sync.Mutex
	limiter admission.Limiter
	budgets map[string]*budget.Budget
	inboxes map[int]*ring.Ring[peer.PartReply]
}

// ownerClient sends messages to the owner of a target.
type ownerClient interface {
	SendParts(q peer.QueryParts)
	Cancel(c peer.Cancel)
}

func newCoordinator(id, dataCentre string, maxInFlight int, registry *stats.Registry, policiesDisabled bool, ownerFor func(string) ownerClient) *coordinator {
	c := &coordinator{id: id, dataCentre: dataCentre, stats: registry, policiesDisabled: policiesDisabled, ownerFor: ownerFor, budgets: map[string]*budget.Budget{}, inboxes: map[int]*ring.Ring[peer.PartReply]{}}
	c.limiter.Reset(maxInFlight, limitDecreaseInterval)
	return c
}

// HandleReplies implements link.ReplyHandler. It also handles replies from the
// owner role of the same daemon.
func (c *coordinator) HandleReplies(r peer.PartReplies) {
	for _, s := range r.Targets {
		c.updateTarget(s)
	}
	for _, p := range r.Parts {
		c.deliver(p)
	}
}

func (c *coordinator) deliver(p peer.PartReply) {
	c.mu.Lock()
	r := c.inboxes[p.Query]
	c.mu.Unlock()
	if r == nil || !r.Push(p) {
		c.stats.Add("answers-late", 1)
	}
}

// HandleLost implements link.ReplyHandler.
func (c *coordinator) HandleLost(q peer.QueryParts, sent bool) {
	reason, notDelivered := query.ReasonOwnerLost, !sent
	outcome := "unknown"
	if notDelivered {
		outcome = "not-run"
	}
	c.stats.Add("part-refused-"+reason, len(q.Parts))
	for _, p := range q.Parts {
		c.deliver(peer.PartReply{Query: q.Query, ID: p.ID, Target: p.Target, Outcome: outcome, Reason: &reason, Untouched: &notDelivered})
	}
}

// HandleConnectionTimeout implements link.ReplyHandler.
func (c *coordinator) HandleConnectionTimeout() { c.stats.Add("peer-connections-condemned", 1) }

func (c *coordinator) updateTarget(s peer.TargetState) {
	c.observed.setState(s.Target, target.ParseState(s.State))
	if s.Version == 0 {
		return
	}
	holdings := make([]snapshot.Holding, len(s.Holdings))
	for i, h := range s.Holdings {
		holdings[i] = snapshot.NewHolding(h.Snapshot, h.Shards, h.Held)
	}
	c.catalog.Update(s.Target, s.Version, holdings)
}

// TryWithdraw implements query.Budget.
func (c *coordinator) TryWithdraw(service string, urgent bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budgets[service]
	return b != nil && b.TryWithdraw(urgent)
}

// depositBudgets credits the retry budgets of the services for the initial
// requests.
func (c *coordinator) depositBudgets(resolved *settings.Resolved, shards []snapshot.Shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range shards {
		service := shards[i].Service()
		b := c.budgets[service]
		if b == nil {
			b = &budget.Budget{}
			c.budgets[service] = b
		}
		if s := resolved.Service(service); s != nil {
			b.SetRatio(s.Policy().RetryBudgetRatio())
		}
		b.Deposit(1)
	}
}

// admit reports whether a query is admitted.
func (c *coordinator) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.TryAcquire()
}

func (c *coordinator) release(s search, lost bool) {
	now := time.Now()
	result := admission.Result{LostParts: lost, TimeFraction: float64(now.Sub(s.arrived)) / float64(s.deadline.Sub(s.arrived))}
	if c.policiesDisabled {
		result = admission.Result{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter.Release(now, result)
	c.stats.SetGauge("admission-limit", c.limiter.Limit())
}

// search is one search request of a caller.
type search struct {
	scope, terms string
	limit        int
	deadline     time.Time
	arrived      time.Time
}

// result is the result of a search: an answer or, if refusalReason is set, a
// refusal. If notRun is set, no part of the search was sent and the caller can
// retry after retryAfter.
type result struct {
	answer        query.Answer
	refusalReason string
	notRun        bool
	retryAfter    time.Duration
}

// answer runs a search. A search of several services uses the policy of the
// first.
func (c *coordinator) answer(ctx context.Context, s search) result {
	resolved := c.settings.Load()
	if resolved == nil {
		return c.refuse(nil, "no-settings")
	}
	services := resolved.AppendServices(nil, s.scope)
	if len(services) == 0 {
		return result{refusalReason: "unknown-scope"}
	}
	p := services[0].Policy()
	s.deadline = earlier(s.deadline, s.arrived.Add(p.Deadline()))
	if c.isolated(s.arrived) {
		return c.refuse(&p, "isolated")
	}
	if !c.admit() {
		return c.refuse(&p, "overload")
	}
	r := c.run(ctx, resolved, s, p)
	c.release(s, c.overloaded(r.answer.Coverage))
	return c.checkCoverage(r, p)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// refuse returns the refusal of a search before any part was sent. The time
// after which the caller is asked to retry is randomised.
func (c *coordinator) refuse(p *settings.Policy, reason string) result {
	c.stats.Add("refused-"+reason, 1)
	mean := settings.DefaultRetryAfter
	if p != nil {
		mean = p.RetryAfter()
	}
	return result{refusalReason: reason, notRun: true, retryAfter: mean/2 + rand.N(mean)}
}

// checkCoverage replaces an answer below the minimum coverage by a refusal if
// the policy refuses partial answers. It also counts covered and missing shards.
func (c *coordinator) checkCoverage(r result, p settings.Policy) result {
	if r.refusalReason != "" {
		return r
	}
	coverage := r.answer.Coverage
	for _, m := range coverage.Missing {
		c.stats.Add("missing-"+m.Reason, 1)
	}
	c.stats.Add("shards-covered", len(coverage.Covered))
	if coverage.Fraction() < p.MinCoverage() && p.RefusePartial() {
		c.stats.Add("refused-below-floor", 1)
		return result{refusalReason: "below-floor"}
	}
	return r
}

func (c *coordinator) overloaded(coverage query.Coverage) bool {
	lost := 0
	for _, m := range coverage.Missing {
		switch m.Reason {
		case query.ReasonQueueFull, query.ReasonTooLate, query.ReasonShed, query.ReasonDeadline:
			lost++
		}
	}
	return float64(lost) > overloadFraction*float64(len(coverage.Covered)+len(coverage.Missing))
}

// run runs a search under the best snapshot, and under a newer one if the
// targets have dropped that snapshot.
func (c *coordinator) run(ctx context.Context, resolved *settings.Resolved, s search, p settings.Policy) result {
	var best query.Answer
	m := c.shardMaps.get(c, resolved, s.scope, 0)
	for try := 0; m != nil; try++ {
		q, a := c.runAttempt(ctx, resolved, s, m)
		if try == 0 || a.Coverage.Fraction() > best.Coverage.Fraction() {
			best = a
		}
		if q.SnapshotGoneCount() == 0 || a.Coverage.Fraction() == 1 || !time.Now().Before(s.deadline) || ctx.Err() != nil || try == maxRestarts {
			break
		}
		if m = c.newerShardMap(ctx, resolved, s, m); m != nil {
			c.stats.Add("restarts-newer-snapshot", 1)
		}
	}
	if best.Coverage.Snapshot == 0 {
		return c.refuse(&p, "no-snapshot")
	}
	return result{answer: best}
}

// newerShardMap returns the shard map of a newer snapshot than that of m, or nil. Hosts
// learn from replies which snapshots a target holds. Targets that replied before they
// dropped the snapshot of m have not reported the newer one, so their services are
// searched again first.
func (c *coordinator) newerShardMap(ctx context.Context, resolved *settings.Resolved, s search, m *snapshot.ShardMap) *snapshot.ShardMap {
	newer := c.shardMaps.get(c, resolved, s.scope, m.Snapshot())
	if newer == nil {
		return nil
	}
	unreported := m.Restrict(newer.Incomplete())
	if len(unreported.Shards()) == 0 {
		return newer
	}
	c.stats.Add("restarts-holdings-unreported", 1)
	c.runAttempt(ctx, resolved, s, unreported)
	return c.shardMaps.get(c, resolved, s.scope, m.Snapshot())
}

// runAttempt runs a query under one snapshot until it is finished or its
// deadline has passed.
func (c *coordinator) runAttempt(ctx context.Context, resolved *settings.Resolved, s search, m *snapshot.ShardMap) (*query.Query, query.Answer) {
	number := int(c.lastNumber.Add(1))
	inbox := &ring.Ring[peer.PartReply]{}
	c.mu.Lock()
	c.inboxes[number] = inbox
	c.mu.Unlock()
	c.depositBudgets(resolved, m.Shards())
	a := &attempt{coordinator: c, number: number, search: s, sentAt: map[int]time.Time{}}
	p := &picker{
		observed: &c.observed, localDataCentre: c.dataCentre, random: rand.New(rand.NewPCG(rand.Uint64(), uint64(number))),
		usable:     func(path string) bool { t := resolved.Target(path); return t != nil && resolved.AcceptsWork(t) },
		dataCentre: func(path string) string { return resolved.Target(path).DataCentre() },
	}
	a.query.Reset(m, query.Options{Deadline: s.deadline, HedgeDelay: c.hedgeDelay(resolved, s.scope), MaxHits: s.limit, SingleAttempt: c.policiesDisabled}, p, c, p.random)
	a.run(ctx, inbox)
	c.mu.Lock()
	delete(c.inboxes, number)
	c.mu.Unlock()
	a.count()
	return &a.query, a.query.Answer()
}

// hedgeDelay returns the delay after which parts of a scope are hedged.
func (c *coordinator) hedgeDelay(resolved *settings.Resolved, scope string) time.Duration {
	var delay time.Duration
	for _, s := range resolved.AppendServices(nil, scope) {
		if q := c.latencies.Quantile(groupOf(s.Path()), s.Policy().HedgeQuantile()); q > 0 {
			delay = max(delay, minHedgeDelay, q)
		}
	}
	return delay
}

func groupOf(path string) string {
	name, _, _ := strings.Cut(path, "/")
	return name
}

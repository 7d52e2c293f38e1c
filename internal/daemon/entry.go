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
	// maxRestarts limits how often a search is restarted under another
	// snapshot.
	maxRestarts = 2
	// limitDecreaseInterval is the minimum time between two reductions of the
	// admission limit because of overload.
	limitDecreaseInterval = 50 * time.Millisecond
	// overloadFraction is the fraction of the shards of a query that must be
	// lost to overload for the query to count as a sign of overload.
	overloadFraction = 0.02
	// minHedgeDelay is the minimum delay after which a part is hedged.
	minHedgeDelay = 2 * time.Millisecond
)

// entry is the coordinator role of a daemon.
type entry struct {
	id               string
	dataCentre       string
	stats            *stats.Registry
	policiesDisabled bool
	portFor          func(target string) port
	// isolated reports whether the host can reach no other host and must not
	// accept requests.
	isolated   func(now time.Time) bool
	view       atomic.Pointer[settings.Resolved]
	lastNumber atomic.Int64

	catalog   snapshot.Catalog
	observed  observedTargets
	latencies latency.Histograms
	plans     planCache

	mu      sync.Mutex
	limiter admission.Limiter
	budgets map[string]*budget.Budget
	inboxes map[int]*ring.Ring[peer.PartReply]
}

// port is a connection to the owner of a target.
type port interface {
	SendParts(a peer.QueryParts)
	Cancel(c peer.Cancel)
}

func newEntry(id, dataCentre string, admitted int, t *stats.Registry, plain bool, ports func(string) port) *entry {
	e := &entry{id: id, dataCentre: dataCentre, stats: t, policiesDisabled: plain, portFor: ports, budgets: map[string]*budget.Budget{}, inboxes: map[int]*ring.Ring[peer.PartReply]{}}
	e.limiter.Reset(admitted, limitDecreaseInterval)
	return e
}

// HandleReplies implements link.Receiver. It also handles replies from the owner role of
// the same daemon.
func (e *entry) HandleReplies(t peer.PartReplies) {
	for _, s := range t.Targets {
		e.updateTarget(s)
	}
	for _, p := range t.Parts {
		e.deliver(p)
	}
}

func (e *entry) deliver(p peer.PartReply) {
	e.mu.Lock()
	r := e.inboxes[p.Query]
	e.mu.Unlock()
	if r == nil || !r.Push(p) {
		e.stats.Add("answers-late", 1)
	}
}

// HandleLost implements link.Receiver.
func (e *entry) HandleLost(a peer.QueryParts, sent bool) {
	reason, notDelivered := query.ReasonOwnerLost, !sent
	outcome := "unknown"
	if notDelivered {
		outcome = "not-run"
	}
	e.stats.Add("part-refused-"+reason, len(a.Parts))
	for _, p := range a.Parts {
		e.deliver(peer.PartReply{Query: a.Query, ID: p.ID, Target: p.Target, Outcome: outcome, Reason: &reason, Untouched: &notDelivered})
	}
}

// HandleConnectionTimeout implements link.Receiver.
func (e *entry) HandleConnectionTimeout() { e.stats.Add("peer-connections-condemned", 1) }

func (e *entry) updateTarget(s peer.TargetState) {
	e.observed.setState(s.Target, target.ParseState(s.State))
	if s.Version == 0 {
		return
	}
	holdings := make([]snapshot.Holding, len(s.Holdings))
	for i, h := range s.Holdings {
		holdings[i] = snapshot.NewHolding(h.Snapshot, h.Shards, h.Held)
	}
	e.catalog.Update(s.Target, s.Version, holdings)
}

// TryWithdraw implements query.Spender.
func (e *entry) TryWithdraw(service string, urgent bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	return b != nil && b.TryWithdraw(urgent)
}

// depositBudgets credits the retry budgets of the services for the initial
// requests.
func (e *entry) depositBudgets(v *settings.Resolved, shards []snapshot.Shard) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range shards {
		service := shards[i].Service()
		b := e.budgets[service]
		if b == nil {
			b = &budget.Budget{}
			e.budgets[service] = b
		}
		if s := v.Service(service); s != nil {
			b.SetRatio(s.Policy().RetryBudgetRatio())
		}
		b.Deposit(1)
	}
}

// admit reports whether a query is admitted.
func (e *entry) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter.TryAcquire()
}

func (e *entry) release(s search, lost bool) {
	now := time.Now()
	result := admission.Result{LostParts: lost, TimeFraction: float64(now.Sub(s.arrived)) / float64(s.deadline.Sub(s.arrived))}
	if e.policiesDisabled {
		result = admission.Result{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(now, result)
	e.stats.SetGauge("admission-limit", e.limiter.Limit())
}

// search is one search request of a caller.
type search struct {
	scope, terms string
	limit        int
	deadline     time.Time
	arrived      time.Time
}

// result is the result of a search: an answer or a refusal.
type result struct {
	answer  query.Answer
	refused string
	notRun  bool
	wait    time.Duration
}

// answer runs a search. A search of several services uses the policy of the
// first.
func (e *entry) answer(ctx context.Context, s search) result {
	v := e.view.Load()
	if v == nil {
		return e.refuse(nil, "no-settings")
	}
	services := v.AppendServices(nil, s.scope)
	if len(services) == 0 {
		return result{refused: "unknown-scope"}
	}
	p := services[0].Policy()
	s.deadline = earlier(s.deadline, s.arrived.Add(p.Deadline()))
	if e.isolated(s.arrived) {
		return e.refuse(&p, "isolated")
	}
	if !e.admit() {
		return e.refuse(&p, "overload")
	}
	r := e.run(ctx, v, s, p)
	e.release(s, e.overloaded(r.answer.Coverage))
	return e.checkCoverage(r, p)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// refuse returns the refusal of a search of which no part was sent. The time
// after which the caller is asked to retry is randomised.
func (e *entry) refuse(p *settings.Policy, reason string) result {
	e.stats.Add("refused-"+reason, 1)
	mean := settings.DefaultRetryAfter
	if p != nil {
		mean = p.RetryAfter()
	}
	return result{refused: reason, notRun: true, wait: mean/2 + rand.N(mean)}
}

// checkCoverage compares the coverage of an answer with the minimum coverage.
func (e *entry) checkCoverage(r result, p settings.Policy) result {
	if r.refused != "" {
		return r
	}
	c := r.answer.Coverage
	for _, m := range c.Missing {
		e.stats.Add("missing-"+m.Reason, 1)
	}
	e.stats.Add("shards-covered", len(c.Covered))
	if c.Fraction() < p.MinCoverage() && p.RefusePartial() {
		e.stats.Add("refused-below-floor", 1)
		return result{refused: "below-floor"}
	}
	return r
}

func (e *entry) overloaded(c query.Coverage) bool {
	lost := 0
	for _, m := range c.Missing {
		switch m.Reason {
		case query.ReasonQueueFull, query.ReasonTooLate, query.ReasonShed, query.ReasonDeadline:
			lost++
		}
	}
	return float64(lost) > overloadFraction*float64(len(c.Covered)+len(c.Missing))
}

// run runs a search under the best snapshot, and under a newer one if the
// targets have dropped that snapshot.
func (e *entry) run(ctx context.Context, v *settings.Resolved, s search, p settings.Policy) result {
	after := 0
	var best query.Answer
	for try := 0; try <= maxRestarts; try++ {
		m := e.plans.get(e, v, s.scope, after)
		if m == nil {
			break
		}
		q, a := e.runAttempt(ctx, v, s, m)
		if try == 0 || a.Coverage.Fraction() > best.Coverage.Fraction() {
			best = a
		}
		if q.SnapshotGoneCount() == 0 || a.Coverage.Fraction() == 1 || !time.Now().Before(s.deadline) || ctx.Err() != nil {
			break
		}
		after = m.Snapshot()
		e.stats.Add("restarts-newer-snapshot", 1)
	}
	if best.Coverage.Snapshot == 0 {
		return e.refuse(&p, "no-snapshot")
	}
	return result{answer: best}
}

// runAttempt runs a query under one snapshot until it is finished or its
// deadline has passed.
func (e *entry) runAttempt(ctx context.Context, v *settings.Resolved, s search, m *snapshot.ShardMap) (*query.Query, query.Answer) {
	number := int(e.lastNumber.Add(1))
	inbox := &ring.Ring[peer.PartReply]{}
	e.mu.Lock()
	e.inboxes[number] = inbox
	e.mu.Unlock()
	e.depositBudgets(v, m.Shards())
	a := &attempt{entry: e, number: number, search: s, sentAt: map[int]time.Time{}}
	c := &chooser{
		observed: &e.observed, localDataCentre: e.dataCentre, random: rand.New(rand.NewPCG(rand.Uint64(), uint64(number))),
		usable:     func(path string) bool { b := v.Target(path); return b != nil && v.AcceptsWork(b) },
		dataCentre: func(path string) string { return v.Target(path).DataCentre() },
	}
	a.query.Reset(m, query.Options{Deadline: s.deadline, HedgeDelay: e.hedgeDelay(v, s.scope), MaxHits: s.limit, SingleAttempt: e.policiesDisabled}, c, e, c.random)
	a.run(ctx, inbox)
	e.mu.Lock()
	delete(e.inboxes, number)
	e.mu.Unlock()
	a.count()
	return &a.query, a.query.Answer()
}

// hedgeDelay returns the delay after which parts of a scope are hedged.
func (e *entry) hedgeDelay(v *settings.Resolved, scope string) time.Duration {
	var delay time.Duration
	for _, s := range v.AppendServices(nil, scope) {
		if q := e.latencies.Quantile(groupOf(s.Path()), s.Policy().HedgeQuantile()); q > 0 {
			delay = max(delay, minHedgeDelay, q)
		}
	}
	return delay
}

func groupOf(path string) string {
	name, _, _ := strings.Cut(path, "/")
	return name
}

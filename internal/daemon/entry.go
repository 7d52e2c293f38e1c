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

// Constants of the entry role.
const (
	// restarts bounds how often a search starts again under another snapshot.
	restarts = 2
	// cutPeriod is how often overload lowers the queries admitted at most.
	cutPeriod = 50 * time.Millisecond
	// overloadShare is the share of the shards of a query that, when lost to
	// overload, counts as a sign of it.
	overloadShare = 0.02
	// hedgeLeast is the least time after which a part is hedged.
	hedgeLeast = 2 * time.Millisecond
)

// entry is the entry role of a daemon.
type entry struct {
	id    string
	own   string
	tally *stats.Registry
	plain bool
	ports func(target string) port
	// isolated reports whether the host hears nobody and must not take work.
	isolated func(now time.Time) bool
	view     atomic.Pointer[settings.Resolved]
	number   atomic.Int64

	catalog   snapshot.Catalog
	standings standings
	latencies latency.Histograms
	plans     planCache

	mu      sync.Mutex
	limiter admission.Limiter
	budgets map[string]*budget.Budget
	waiting map[int]*ring.Ring[peer.PartReply]
}

// port is a way to the owner of a target.
type port interface {
	SendParts(a peer.QueryParts)
	Cancel(c peer.Cancel)
}

func newEntry(id, dataCentre string, admitted int, t *stats.Registry, plain bool, ports func(string) port) *entry {
	e := &entry{id: id, own: dataCentre, tally: t, plain: plain, ports: ports, budgets: map[string]*budget.Budget{}, waiting: map[int]*ring.Ring[peer.PartReply]{}}
	e.limiter.Reset(admitted, cutPeriod)
	return e
}

// HandleReplies implements link.Receiver and takes answers also from the owner role of
// the same daemon.
func (e *entry) HandleReplies(t peer.PartReplies) {
	for _, s := range t.Targets {
		e.learn(s)
	}
	for _, p := range t.Parts {
		e.route(p)
	}
}

func (e *entry) route(p peer.PartReply) {
	e.mu.Lock()
	r := e.waiting[p.Query]
	e.mu.Unlock()
	if r == nil || !r.Push(p) {
		e.tally.Add("answers-late", 1)
	}
}

// HandleLost implements link.Receiver.
func (e *entry) HandleLost(a peer.QueryParts, sent bool) {
	reason, untouched := query.ReasonOwnerLost, !sent
	outcome := "unknown"
	if untouched {
		outcome = "not-run"
	}
	e.tally.Add("part-refused-"+reason, len(a.Parts))
	for _, p := range a.Parts {
		e.route(peer.PartReply{Query: a.Query, ID: p.ID, Target: p.Target, Outcome: outcome, Reason: &reason, Untouched: &untouched})
	}
}

// HandleConnectionTimeout implements link.Receiver.
func (e *entry) HandleConnectionTimeout() { e.tally.Add("peer-connections-condemned", 1) }

func (e *entry) learn(s peer.TargetState) {
	e.standings.hear(s.Target, target.ParseState(s.State))
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

// earn counts first requests to services.
func (e *entry) earn(v *settings.Resolved, shards []snapshot.Shard) {
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

// enter admits a query.
func (e *entry) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter.TryAcquire()
}

func (e *entry) leave(s search, lost bool) {
	now := time.Now()
	ending := admission.Result{LostParts: lost, TimeFraction: float64(now.Sub(s.arrived)) / float64(s.deadline.Sub(s.arrived))}
	if e.plain {
		ending = admission.Result{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(now, ending)
	e.tally.SetGauge("admission-limit", e.limiter.Limit())
}

// search is one request of a caller.
type search struct {
	scope, terms string
	limit        int
	deadline     time.Time
	arrived      time.Time
}

// result is what became of a search: an answer or a refusal.
type result struct {
	answer  query.Answer
	refused string
	notRun  bool
	wait    time.Duration
}

// answer runs a search. A scope of several services is searched under the policy
// of the first.
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
	if !e.enter() {
		return e.refuse(&p, "overload")
	}
	r := e.run(ctx, v, s, p)
	e.leave(s, e.overloaded(r.answer.Coverage))
	return e.judge(r, p)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// refuse returns a refusal of a search of which nothing was asked. The wait
// asked for is spread.
func (e *entry) refuse(p *settings.Policy, reason string) result {
	e.tally.Add("refused-"+reason, 1)
	mean := settings.DefaultRetryAfter
	if p != nil {
		mean = p.RetryAfter()
	}
	return result{refused: reason, notRun: true, wait: mean/2 + rand.N(mean)}
}

// judge weighs the coverage of an answer against the floor.
func (e *entry) judge(r result, p settings.Policy) result {
	if r.refused != "" {
		return r
	}
	c := r.answer.Coverage
	for _, m := range c.Missing {
		e.tally.Add("missing-"+m.Reason, 1)
	}
	e.tally.Add("shards-covered", len(c.Covered))
	if c.Fraction() < p.MinCoverage() && p.RefusePartial() {
		e.tally.Add("refused-below-floor", 1)
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
	return float64(lost) > overloadShare*float64(len(c.Covered)+len(c.Missing))
}

// run asks under the best snapshot, and under a newer one when the targets
// have dropped that.
func (e *entry) run(ctx context.Context, v *settings.Resolved, s search, p settings.Policy) result {
	after := 0
	var best query.Answer
	for try := 0; try <= restarts; try++ {
		m := e.plans.get(e, v, s.scope, after)
		if m == nil {
			break
		}
		q, a := e.pass(ctx, v, s, m)
		if try == 0 || a.Coverage.Fraction() > best.Coverage.Fraction() {
			best = a
		}
		if q.SnapshotGoneCount() == 0 || a.Coverage.Fraction() == 1 || !time.Now().Before(s.deadline) || ctx.Err() != nil {
			break
		}
		after = m.Snapshot()
		e.tally.Add("restarts-newer-snapshot", 1)
	}
	if best.Coverage.Snapshot == 0 {
		return e.refuse(&p, "no-snapshot")
	}
	return result{answer: best}
}

// pass runs a query under one snapshot until it is finished or the deadline.
func (e *entry) pass(ctx context.Context, v *settings.Resolved, s search, m *snapshot.ShardMap) (*query.Query, query.Answer) {
	number := int(e.number.Add(1))
	inbox := &ring.Ring[peer.PartReply]{}
	e.mu.Lock()
	e.waiting[number] = inbox
	e.mu.Unlock()
	e.earn(v, m.Shards())
	run := &pass{entry: e, number: number, search: s, asked: map[int]time.Time{}}
	c := &chooser{
		standings: &e.standings, own: e.own, random: rand.New(rand.NewPCG(rand.Uint64(), uint64(number))),
		usable:     func(path string) bool { b := v.Target(path); return b != nil && v.AcceptsWork(b) },
		dataCentre: func(path string) string { return v.Target(path).DataCentre() },
	}
	run.query.Reset(m, query.Options{Deadline: s.deadline, HedgeDelay: e.hedgeAfter(v, s.scope), MaxHits: s.limit, SingleAttempt: e.plain}, c, e, c.random)
	run.follow(ctx, inbox)
	e.mu.Lock()
	delete(e.waiting, number)
	e.mu.Unlock()
	run.count()
	return &run.query, run.query.Answer()
}

// hedgeAfter returns the time after which parts of a scope are hedged.
func (e *entry) hedgeAfter(v *settings.Resolved, scope string) time.Duration {
	var most time.Duration
	for _, s := range v.AppendServices(nil, scope) {
		if q := e.latencies.Quantile(group(s.Path()), s.Policy().HedgeQuantile()); q > 0 {
			most = max(most, hedgeLeast, q)
		}
	}
	return most
}

func group(path string) string {
	name, _, _ := strings.Cut(path, "/")
	return name
}

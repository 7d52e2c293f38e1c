package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

var (
	// errCallerLeft ends the sends of a request whose caller has gone.
	errCallerLeft = errors.New("the caller has left")
	// errAnswerNotNeeded ends the sends that nobody needs any more.
	errAnswerNotNeeded = errors.New("the answer came too late")
)

// activeRequest is the state of one request under way.
type activeRequest struct {
	g               *Gateway
	request         *Request
	manifestVersion int64
	route           *manifest.Route
	chooser         chooser
	search          search.Search
	plan            search.Plan
	typical         time.Duration
	outgoing        exchange.Request
	ctx             context.Context
	cancel          context.CancelCauseFunc
	// results delivers ends of sends. Several that come together are merged.
	results        chan []attemptResult
	replies        []exchange.Reply
	lastFailure    *exchange.Reply
	loggedAttempts []loggedAttempt
	shouldLog      bool
	// halfCoveredAt is when half of the parts were in.
	halfCoveredAt time.Time
}

// attemptResult is the end of a send.
type attemptResult struct {
	attempt search.Attempt
	reply   exchange.Reply
	latency time.Duration
}

// Serve answers a request. It returns early with Left when ctx ends, since the
// caller has gone then.
func (g *Gateway) Serve(ctx context.Context, q *Request) Answer {
	m := g.manifest.Load()
	if m == nil {
		return g.refuse(q, nil, "no-manifest", startupRetryAfter)
	}
	route := m.Route(q.Host, q.Path)
	if route == nil {
		g.stats.Add("answers-unrouted", 1)
		g.log.Info("request", "id", q.ID, "outcome", Unrouted.String(), "host", q.Host, "path", q.Path, "version", m.Version())
		return Answer{Kind: Unrouted, Reason: "no-route"}
	}
	if ends := g.shutdownDeadline.Load(); ends != nil && time.Until(*ends) < max(route.LatencyTarget, minTimeToShutdown) {
		return g.refuse(q, route, "stopping", minRetryAfter)
	}
	if g.requests.Add(1) > maxRequests {
		g.requests.Add(-1)
		return g.refuse(q, route, "host-full", minRetryAfter)
	}
	defer g.requests.Add(-1)
	if !g.admit(q, m, route) {
		return g.refuse(q, route, "targets-busy", g.jitter(busyRetryAfter))
	}
	r := g.newActiveRequest(q, m, route)
	defer func() { r.releaseAdmission(time.Now()) }()
	return r.serve(ctx)
}

func (g *Gateway) refuse(q *Request, route *manifest.Route, reason string, after time.Duration) Answer {
	g.stats.Add("answers-refused", 1)
	g.stats.Add("refused-"+reason, 1)
	name := ""
	if route != nil {
		name = route.Name
	}
	g.log.Info("request", "id", q.ID, "route", name, "outcome", Refused.String(), "reason", reason, "retry-after-ms", after.Milliseconds())
	return Answer{Kind: Refused, Reason: reason, RetryAfter: after}
}

func (g *Gateway) newActiveRequest(q *Request, m *manifest.Manifest, route *manifest.Route) *activeRequest {
	r := &activeRequest{g: g, request: q, manifestVersion: m.Version(), route: route}
	r.chooser.g = g
	r.plan = search.Plan{Parts: 1, MinParts: 1, MaxTargets: max(1, route.MaxAttempts), Idempotent: route.Idempotent}
	r.setDeadlines()
	if route.IsSearch() {
		r.chooser.services = route.Shards
		r.plan.Parts = len(route.Shards)
		r.plan.MinParts = route.MinShards()
		if route.LatencyTarget > 0 {
			r.plan.SoftDeadline = q.Arrived.Add(SoftDeadlineAfter(route.LatencyTarget, q.RoundTrip))
		}
	}
	r.chooser.typical, r.chooser.softDeadline = r.typical, r.plan.SoftDeadline
	r.replies = make([]exchange.Reply, r.plan.Parts)
	r.results = make(chan []attemptResult, r.plan.Parts*(r.plan.MaxTargets+4))
	r.outgoing = exchange.Request{ID: q.ID, Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body, NonIdempotent: !route.Idempotent}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

func (r *activeRequest) serve(ctx context.Context) Answer {
	g := r.g
	g.mu.Lock()
	now := time.Now()
	r.chooser.now = now
	if !r.route.IsSearch() {
		r.chooser.services = []string{g.splitter.Pick(r.route)}
	}
	for _, s := range r.chooser.services {
		g.retryBudget(now, s).AddInitial(now)
	}
	r.search.Reset(r.plan)
	sends := r.search.Begin(now, &r.chooser, nil)
	r.startAttempts(now, sends)
	verdict := r.search.Decide(now)
	next := r.search.NextTick(now)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for verdict == search.Wait {
		select {
		case e := <-r.results:
			verdict, next = r.handleResults(e)
		case <-timer.C:
			verdict, next = r.tick()
		case <-ctx.Done():
			return r.callerLeft()
		}
		timer.Reset(time.Until(next))
	}
	a := r.answer(verdict)
	r.finish(a)
	return a
}

// startAttempts starts sends. The gateway is locked.
func (r *activeRequest) startAttempts(now time.Time, sends []search.Attempt) {
	far := map[string][]search.Attempt{}
	for _, s := range sends {
		if s.Reason != search.First {
			r.shouldLog = true
			r.g.stats.Add("sends-"+s.Reason.String(), 1)
		}
		if k := r.g.catalog.Get(s.Target); r.viaRelay(now, s, k) {
			far[k.DataCentre] = append(far[k.DataCentre], s)
			continue
		}
		r.sendDirectly(now, s)
	}
	for dataCentre, list := range far {
		if len(list) >= minRelayParts && r.sendViaRelay(now, dataCentre, list) {
			continue
		}
		for _, s := range list {
			r.sendDirectly(now, s)
		}
	}
}

// sendDirectly sends a part from this host.
func (r *activeRequest) sendDirectly(now time.Time, s search.Attempt) {
	k := r.g.catalog.Get(s.Target)
	token := r.g.tracker.Begin(now, s.Target, r.typical)
	r.g.partsSent.Add(1)
	go r.send(s, exchange.Target{ID: k.ID, Address: k.Address}, token)
}

func (r *activeRequest) send(s search.Attempt, t exchange.Target, token uint64) {
	g := r.g
	reply := g.pool.Do(r.ctx, t, &r.outgoing, func() time.Duration { return r.timeLeft(s.Target) })
	now := time.Now()
	result := r.replicaResult(reply, now)
	g.mu.Lock()
	took := g.tracker.End(now, s.Target, token, result, r.typical)
	g.mu.Unlock()
	r.recordResult(now, s, &reply, took)
	r.results <- []attemptResult{{attempt: s, reply: reply, latency: took}}
}

// recordResult takes the end of a send into the latencies and counters.
func (r *activeRequest) recordResult(now time.Time, s search.Attempt, reply *exchange.Reply, took time.Duration) {
	if reply.Outcome != search.Good {
		r.g.stats.Add("sends-ended-"+reply.Reason, 1)
		return
	}
	r.g.latencies.Add(now, r.route.Name, took)
	r.g.stats.ObserveGroup("part-us-service", r.chooser.services[s.Part], took.Microseconds())
}

// timeLeft returns the time left for a send that is about to be written, or 0 if it
// must no longer go to the target. A part is given the time until the answer is
// to be sent, so that a busy target does no work that comes too late; only when
// that has passed with too few parts, it is given all the time there is.
func (r *activeRequest) timeLeft(target string) time.Duration {
	r.g.mu.Lock()
	k := r.g.usableTarget(target)
	r.g.mu.Unlock()
	if k == nil {
		return 0
	}
	now := time.Now()
	if !r.plan.SoftDeadline.IsZero() && now.Add(minPartTime).Before(r.plan.SoftDeadline) {
		return r.plan.SoftDeadline.Sub(now)
	}
	return r.plan.Deadline.Sub(now)
}

// replicaResult returns what a reply says of the target.
func (r *activeRequest) replicaResult(reply exchange.Reply, now time.Time) replicas.Result {
	switch reply.Outcome {
	case search.Good:
		return replicas.Answered
	case search.NotRun:
		if reply.TargetMoved {
			return replicas.Unreachable
		}
		return replicas.Shed
	case search.Failed:
		if reply.MAC != "" && reply.Status == http.StatusGatewayTimeout && !now.Before(r.plan.SoftDeadline) {
			return replicas.TimedOut
		}
		return replicas.Failed
	case search.Unknown:
		if r.ctx.Err() == nil && !reply.TimedOut {
			return replicas.Failed
		}
	}
	if r.ctx.Err() != nil && !errors.Is(context.Cause(r.ctx), errAnswerNotNeeded) || reply.LocalFailure {
		return replicas.Abandoned
	}
	return replicas.Unreachable
}

func (r *activeRequest) handleResults(together []attemptResult) (search.Decision, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	for i := range together {
		r.handleResult(now, &together[i], len(together) > 1)
	}
	if r.halfCoveredAt.IsZero() && 2*r.search.Covered() >= r.plan.Parts {
		r.halfCoveredAt = now
	}
	return r.search.Decide(now), r.search.NextTick(now)
}

// handleResult takes the end of a send. The records of parts that came merged cannot be
// told apart, so that they replace an answer that a part had before.
func (r *activeRequest) handleResult(now time.Time, e *attemptResult, merged bool) {
	outcome := r.outcomeOf(&e.reply)
	sends, use := r.search.HandleOutcome(now, &r.chooser, e.attempt, outcome, nil)
	if use || merged && outcome == search.Good {
		r.replies[e.attempt.Part] = e.reply
	}
	if outcome != search.Good {
		r.shouldLog = true
	}
	r.noteAttempt(*e)
	r.startAttempts(now, sends)
}

// outcomeOf returns the outcome of a reply for the route. A target's own refusal of
// what the caller asked is the answer to a request for one target.
func (r *activeRequest) outcomeOf(reply *exchange.Reply) search.Outcome {
	if reply.Outcome == search.Failed && !r.route.IsSearch() && reply.MAC != "" && reply.Status < http.StatusInternalServerError {
		return search.Good
	}
	if reply.Outcome == search.Failed {
		r.lastFailure = reply
	}
	return reply.Outcome
}

func (r *activeRequest) tick() (search.Decision, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	r.startAttempts(now, r.search.Tick(now, &r.chooser, nil))
	return r.search.Decide(now), r.search.NextTick(now)
}

// callerLeft ends a request whose caller has gone.
func (r *activeRequest) callerLeft() Answer {
	time.AfterFunc(callerLeftGrace, func() { r.cancel(errCallerLeft) })
	r.g.stats.Add("answers-left", 1)
	a := Answer{Kind: CallerLeft, Reason: "caller-left"}
	r.logOutcome(a)
	return a
}

// finish lets sends go on for a while that are still under way, so that their
// connections can be kept.
func (r *activeRequest) finish(a Answer) {
	time.AfterFunc(lateAnswerGrace, func() { r.cancel(errAnswerNotNeeded) })
	if r.route.IsSearch() {
		r.g.mu.Lock()
		r.g.recordSearch(time.Now(), a.Kind == Merged)
		r.g.mu.Unlock()
	}
	r.g.stats.Add("answers-"+a.Kind.String(), 1)
	took := time.Since(r.request.Arrived).Microseconds()
	r.g.stats.Observe("answer-us-"+a.Kind.String(), took)
	r.g.stats.ObserveGroup("answer-us-route", r.route.Name, took)
	if r.shouldLog || a.Kind != Served && (a.Kind != Merged || a.MissingShards > 0) {
		r.logOutcome(a)
	}
}

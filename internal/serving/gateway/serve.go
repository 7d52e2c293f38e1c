package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

var (
	// errCallerLeft cancels the attempts of a request whose caller has disconnected.
	errCallerLeft = errors.New("caller disconnected")
	// errAnswerNotNeeded cancels the attempts that are still in flight some time after
	// the request was answered.
	errAnswerNotNeeded = errors.New("request is already answered")
)

// activeRequest is the state of one request in flight.
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
	// results receives the results of attempts. Results that are received together are
	// from one relay, which has merged their records.
	results        chan []attemptResult
	replies        []exchange.Reply
	lastFailure    *exchange.Reply
	loggedAttempts []loggedAttempt
	// shouldLog reports that the request had a retry, a hedge or a failed attempt.
	shouldLog bool
	// halfCoveredAt is the time at which half of the parts were answered, or zero.
	halfCoveredAt time.Time
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	attempt search.Attempt
	reply   exchange.Reply
	latency time.Duration
}

// Serve serves a request and returns its answer, which has to be released. It returns early
// with CallerLeft when ctx ends, because the caller has disconnected then.
func (g *Gateway) Serve(ctx context.Context, req *Request) Answer {
	m := g.manifest.Load()
	if m == nil {
		return g.refuse(req, nil, "no-manifest", g.jitter(StartupRetryAfter(time.Since(g.startedAt))))
	}
	route := m.Route(req.Host, req.Path)
	if route == nil {
		g.stats.Add("answers-unrouted", 1)
		g.log.Info("request", "id", req.ID, "outcome", Unrouted.String(), "host", req.Host, "path", req.Path, "version", m.Version())
		return Answer{Kind: Unrouted, Reason: "no-route"}
	}
	if g.tooLate(route) {
		return g.refuse(req, route, "stopping", minRetryAfter)
	}
	if g.requests.Add(1) > maxRequests {
		g.requests.Add(-1)
		return g.refuse(req, route, "host-full", minRetryAfter)
	}
	defer g.requests.Add(-1)
	if !g.admit(req, m, route) {
		return g.refuse(req, route, "targets-busy", g.jitter(busyRetryAfter))
	}
	r := g.newActiveRequest(req, m, route)
	defer func() { r.releaseAdmission(time.Now()) }()
	a := r.serve(ctx)
	r.releaseReplies(&a)
	return a
}

// releaseReplies drops the replies of the targets. Their memory is released here, or with the
// answer if it is one of them.
func (r *activeRequest) releaseReplies(a *Answer) {
	r.replies, r.lastFailure = nil, nil
	if a.Kind == Served {
		a.outgoing = &r.outgoing
		return
	}
	r.outgoing.End()
}

// refuse returns the answer for a request that is refused on arrival.
func (g *Gateway) refuse(req *Request, route *manifest.Route, reason string, retryAfter time.Duration) Answer {
	g.stats.Add("answers-refused", 1)
	g.stats.Add("refused-"+reason, 1)
	name := ""
	if route != nil {
		name = route.Name
	}
	g.log.Info("request", "id", req.ID, "route", name, "outcome", Refused.String(), "reason", reason, "retry-after-ms", retryAfter.Milliseconds())
	return Answer{Kind: Refused, Reason: reason, RetryAfter: retryAfter}
}

func (g *Gateway) newActiveRequest(req *Request, m *manifest.Manifest, route *manifest.Route) *activeRequest {
	r := &activeRequest{g: g, request: req, manifestVersion: m.Version(), route: route}
	r.chooser.g = g
	r.plan = search.Plan{Parts: 1, MinParts: 1, MaxTargets: max(1, route.MaxAttempts), Idempotent: route.Idempotent}
	r.setDeadlines()
	if route.IsSearch() {
		r.chooser.services = route.Shards
		r.plan.Parts = len(route.Shards)
		r.plan.MinParts = route.MinShards()
		if route.LatencyTarget > 0 {
			r.plan.SoftDeadline = req.Arrived.Add(SoftDeadlineAfter(route.LatencyTarget, req.RoundTrip))
		}
	}
	r.replies = make([]exchange.Reply, r.plan.Parts)
	r.results = make(chan []attemptResult, r.plan.Parts*(r.plan.MaxTargets+4))
	r.outgoing = exchange.Request{ID: req.ID, Method: req.Method, URI: req.URI, Host: req.Host, Header: req.Header, Body: req.Body, NonIdempotent: !route.Idempotent, IsPart: route.IsSearch()}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

// serve runs the search until there is an answer or ctx ends.
func (r *activeRequest) serve(ctx context.Context) Answer {
	g := r.g
	g.mu.Lock()
	now := time.Now()
	r.chooser.now = now
	if !r.route.IsSearch() {
		r.chooser.services = []string{g.splitter.Pick(r.route)}
	}
	for _, service := range r.chooser.services {
		g.retryBudgets.service(service).addInitial(now)
	}
	r.search.Reset(r.plan)
	attempts := r.search.Begin(now, &r.chooser, nil)
	r.startAttempts(now, attempts)
	decision := r.search.Decide(now)
	next := r.search.NextTick(now)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for decision == search.Wait {
		select {
		case results := <-r.results:
			decision, next = r.handleResults(results)
		case <-timer.C:
			decision, next = r.tick()
		case <-ctx.Done():
			return r.callerLeft()
		}
		timer.Reset(time.Until(next))
	}
	a := r.answer(decision)
	r.finish(a)
	return a
}

// startAttempts sends parts to their targets. The gateway is locked.
func (r *activeRequest) startAttempts(now time.Time, attempts []search.Attempt) {
	remote := map[string][]search.Attempt{}
	for _, a := range attempts {
		if a.Reason != search.First {
			r.shouldLog = true
			r.g.stats.Add("sends-"+a.Reason.String(), 1)
		}
		if e := r.g.catalog.Get(a.Target); r.viaRelay(now, a, e) {
			remote[e.DataCentre] = append(remote[e.DataCentre], a)
			continue
		}
		r.sendDirectly(now, a)
	}
	for dataCentre, list := range remote {
		if len(list) >= minRelayParts && r.sendViaRelay(now, dataCentre, list) {
			continue
		}
		for _, a := range list {
			r.sendDirectly(now, a)
		}
	}
}

// sendDirectly sends a part to its target from this host.
func (r *activeRequest) sendDirectly(now time.Time, a search.Attempt) {
	e := r.g.catalog.Get(a.Target)
	token := r.g.tracker.Begin(now, a.Target, r.typical)
	r.g.partsSent.Add(1)
	go r.send(now, a, r.g.address(e), token)
}

// send exchanges a part with the target that was chosen at a time and delivers the result.
func (r *activeRequest) send(chosenAt time.Time, a search.Attempt, t exchange.Target, token uint64) {
	g := r.g
	reply := g.pool.Do(r.ctx, t, &r.outgoing, func() time.Duration { return r.timeLeft(a.Target, chosenAt) })
	now := time.Now()
	result := r.replicaResult(reply, now)
	g.mu.Lock()
	g.heed(now, t.ID, &reply)
	latency := g.tracker.End(now, a.Target, token, result, r.typical)
	g.mu.Unlock()
	r.recordResult(now, a, &reply, latency)
	r.results <- []attemptResult{{attempt: a, reply: reply, latency: latency}}
}

// timeLeft returns the time budget for a part that is about to be written to its target,
// or 0 if the target is not usable any more or the permission to send to it while it is
// cold, given when it was chosen, has expired. The part has to be answered by the soft
// deadline, so that a busy target does no work for an answer that comes too late. When
// less than minPartTime is left until then, or it has passed with too few parts, the
// deadline applies.
func (r *activeRequest) timeLeft(target string, chosenAt time.Time) time.Duration {
	now := time.Now()
	r.g.mu.Lock()
	e := r.g.usableTarget(now, target)
	allowed := e != nil && (!r.g.rateLimited(now, e) || r.g.coldStarts.PermissionValid(now, chosenAt))
	r.g.mu.Unlock()
	if !allowed {
		return 0
	}
	if !r.plan.SoftDeadline.IsZero() && now.Add(minPartTime).Before(r.plan.SoftDeadline) {
		return r.plan.SoftDeadline.Sub(now)
	}
	return r.plan.Deadline.Sub(now)
}

// handleResults processes results that were received together.
func (r *activeRequest) handleResults(results []attemptResult) (search.Decision, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	for i := range results {
		r.handleResult(now, &results[i], len(results) > 1)
	}
	if r.halfCoveredAt.IsZero() && 2*r.search.Covered() >= r.plan.Parts {
		r.halfCoveredAt = now
	}
	return r.search.Decide(now), r.search.NextTick(now)
}

// handleResult processes the result of an attempt. The records of parts that a relay
// merged cannot be separated, so they replace an earlier reply to a part.
func (r *activeRequest) handleResult(now time.Time, result *attemptResult, merged bool) {
	outcome := r.outcomeOf(&result.reply)
	attempts, keep := r.search.HandleOutcome(now, &r.chooser, result.attempt, outcome, nil)
	if keep || merged && outcome == search.Good {
		r.replies[result.attempt.Part] = result.reply
	}
	if outcome != search.Good {
		r.shouldLog = true
	}
	r.recordAttempt(*result)
	r.startAttempts(now, attempts)
}

// tick starts the retries and hedges that are due.
func (r *activeRequest) tick() (search.Decision, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	r.startAttempts(now, r.search.Tick(now, &r.chooser, nil))
	return r.search.Decide(now), r.search.NextTick(now)
}

// callerLeft ends a request whose caller has disconnected.
func (r *activeRequest) callerLeft() Answer {
	time.AfterFunc(callerLeftGrace, func() { r.cancel(errCallerLeft) })
	r.g.stats.Add("answers-left", 1)
	a := Answer{Kind: CallerLeft, Reason: "caller-left"}
	r.logOutcome(a)
	return a
}

// finish counts and logs the answer. Attempts that are still in flight continue for
// lateAnswerGrace, so that their connections can be reused.
func (r *activeRequest) finish(a Answer) {
	time.AfterFunc(lateAnswerGrace, func() { r.cancel(errAnswerNotNeeded) })
	if r.route.IsSearch() {
		r.g.mu.Lock()
		r.g.recordSearch(time.Now(), a.Kind == Merged)
		r.g.mu.Unlock()
	}
	r.g.stats.Add("answers-"+a.Kind.String(), 1)
	elapsed := time.Since(r.request.Arrived)
	took := elapsed.Microseconds()
	late := r.route.LatencyTarget > 0 && elapsed > r.route.LatencyTarget
	r.g.stats.Observe("answer-us-"+a.Kind.String(), took)
	r.g.stats.ObserveGroup("answer-us-route", r.route.Name, took)
	if r.shouldLog || late || a.Kind != Served && (a.Kind != Merged || a.MissingShards > 0) {
		r.logOutcome(a)
	}
}

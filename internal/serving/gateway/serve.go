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
	// errLeft ends the sends of a request whose caller has gone.
	errLeft = errors.New("the caller has left")
	// errStray ends the sends that nobody needs any more.
	errStray = errors.New("the answer came too late")
)

// run is the state of one request under way.
type run struct {
	g       *Gateway
	request *Request
	version int64
	route   *manifest.Route
	chooser chooser
	search  search.Search
	plan    search.Plan
	usual   time.Duration
	ask     exchange.Request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// ended delivers ends of sends. Several that come together are merged.
	ended   chan []ended
	replies []exchange.Reply
	last    *exchange.Reply
	trail   []step
	unusual bool
	// half is when half of the parts were in.
	half time.Time
}

// ended is the end of a send.
type ended struct {
	send  search.Attempt
	reply exchange.Reply
	took  time.Duration
}

// Serve answers a request. It returns early with Left when ctx ends, since the
// caller has gone then.
func (g *Gateway) Serve(ctx context.Context, q *Request) Answer {
	m := g.manifest.Load()
	if m == nil {
		return g.refuse(q, nil, "no-manifest", startRetry)
	}
	route := m.Route(q.Host, q.Path)
	if route == nil {
		g.tally.Add("answers-unrouted", 1)
		g.log.Info("request", "id", q.ID, "outcome", Unrouted.String(), "host", q.Host, "path", q.Path, "version", m.Version())
		return Answer{Kind: Unrouted, Reason: "no-route"}
	}
	if ends := g.ends.Load(); ends != nil && time.Until(*ends) < max(route.LatencyTarget, stopLeast) {
		return g.refuse(q, route, "stopping", retryLeast)
	}
	if g.running.Add(1) > requestsMost {
		g.running.Add(-1)
		return g.refuse(q, route, "host-full", retryLeast)
	}
	defer g.running.Add(-1)
	if !g.admit(q, m, route) {
		return g.refuse(q, route, "targets-busy", g.spread(busyRetry))
	}
	r := g.newRun(q, m, route)
	defer func() { r.discharge(time.Now()) }()
	return r.serve(ctx)
}

func (g *Gateway) refuse(q *Request, route *manifest.Route, reason string, after time.Duration) Answer {
	g.tally.Add("answers-refused", 1)
	g.tally.Add("refused-"+reason, 1)
	name := ""
	if route != nil {
		name = route.Name
	}
	g.log.Info("request", "id", q.ID, "route", name, "outcome", Refused.String(), "reason", reason, "retry-after-ms", after.Milliseconds())
	return Answer{Kind: Refused, Reason: reason, RetryAfter: after}
}

func (g *Gateway) newRun(q *Request, m *manifest.Manifest, route *manifest.Route) *run {
	r := &run{g: g, request: q, version: m.Version(), route: route}
	r.chooser.g = g
	r.plan = search.Plan{Parts: 1, MinParts: 1, MaxTargets: max(1, route.MaxAttempts), Idempotent: route.Idempotent}
	r.timing()
	if route.IsSearch() {
		r.chooser.services = route.Shards
		r.plan.Parts = len(route.Shards)
		r.plan.MinParts = route.MinShards()
		if route.LatencyTarget > 0 {
			r.plan.SoftDeadline = q.Arrived.Add(SoftDeadlineAfter(route.LatencyTarget, q.RoundTrip))
		}
	}
	r.chooser.usual, r.chooser.settle = r.usual, r.plan.SoftDeadline
	r.replies = make([]exchange.Reply, r.plan.Parts)
	r.ended = make(chan []ended, r.plan.Parts*(r.plan.MaxTargets+4))
	r.ask = exchange.Request{ID: q.ID, Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body, NonIdempotent: !route.Idempotent}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	return r
}

func (r *run) serve(ctx context.Context) Answer {
	g := r.g
	g.mu.Lock()
	now := time.Now()
	r.chooser.now = now
	if !r.route.IsSearch() {
		r.chooser.services = []string{g.splitter.Pick(r.route)}
	}
	for _, s := range r.chooser.services {
		g.window(now, s).AddInitial(now)
	}
	r.search.Reset(r.plan)
	sends := r.search.Begin(now, &r.chooser, nil)
	r.begin(now, sends)
	verdict := r.search.Verdict(now)
	next := r.search.Next(now)
	g.mu.Unlock()
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	for verdict == search.Wait {
		select {
		case e := <-r.ended:
			verdict, next = r.took(e)
		case <-timer.C:
			verdict, next = r.tick()
		case <-ctx.Done():
			return r.left()
		}
		timer.Reset(time.Until(next))
	}
	a := r.answer(verdict)
	r.finish(a)
	return a
}

// begin starts sends. The gateway is locked.
func (r *run) begin(now time.Time, sends []search.Attempt) {
	far := map[string][]search.Attempt{}
	for _, s := range sends {
		if s.Reason != search.First {
			r.unusual = true
			r.g.tally.Add("sends-"+s.Reason.String(), 1)
		}
		if k := r.g.catalog.Get(s.Target); r.relayed(now, s, k) {
			far[k.DataCentre] = append(far[k.DataCentre], s)
			continue
		}
		r.direct(now, s)
	}
	for dataCentre, list := range far {
		if len(list) >= relayLeast && r.through(now, dataCentre, list) {
			continue
		}
		for _, s := range list {
			r.direct(now, s)
		}
	}
}

// direct sends a part from this host.
func (r *run) direct(now time.Time, s search.Attempt) {
	k := r.g.catalog.Get(s.Target)
	token := r.g.board.Begin(now, s.Target, r.usual)
	r.g.parts.Add(1)
	go r.send(s, exchange.Target{ID: k.ID, Address: k.Address}, token)
}

func (r *run) send(s search.Attempt, t exchange.Target, token uint64) {
	g := r.g
	reply := g.pool.Do(r.ctx, t, &r.ask, func() time.Duration { return r.rest(s.Target) })
	now := time.Now()
	result := r.result(reply, now)
	g.mu.Lock()
	took := g.board.End(now, s.Target, token, result, r.usual)
	g.mu.Unlock()
	r.count(now, s, &reply, took)
	r.ended <- []ended{{send: s, reply: reply, took: took}}
}

// count takes the end of a send into the latencies and counters.
func (r *run) count(now time.Time, s search.Attempt, reply *exchange.Reply, took time.Duration) {
	if reply.Outcome != search.Good {
		r.g.tally.Add("sends-ended-"+reply.Reason, 1)
		return
	}
	r.g.latencies.Add(now, r.route.Name, took)
	r.g.tally.ObserveGroup("part-us-service", r.chooser.services[s.Part], took.Microseconds())
}

// rest returns the time left for a send that is about to be written, or 0 if it
// must no longer go to the target. A part is given the time until the answer is
// to be sent, so that a busy target does no work that comes too late; only when
// that has passed with too few parts, it is given all the time there is.
func (r *run) rest(target string) time.Duration {
	r.g.mu.Lock()
	k := r.g.usable(target)
	r.g.mu.Unlock()
	if k == nil {
		return 0
	}
	now := time.Now()
	if !r.plan.SoftDeadline.IsZero() && now.Add(leastTime).Before(r.plan.SoftDeadline) {
		return r.plan.SoftDeadline.Sub(now)
	}
	return r.plan.Deadline.Sub(now)
}

// result returns what a reply says of the target.
func (r *run) result(reply exchange.Reply, now time.Time) replicas.Result {
	switch reply.Outcome {
	case search.Good:
		return replicas.Answered
	case search.NotRun:
		if reply.TargetMoved {
			return replicas.Lost
		}
		return replicas.Shed
	case search.Failed:
		if reply.MAC != "" && reply.Status == http.StatusGatewayTimeout && !now.Before(r.plan.SoftDeadline) {
			return replicas.Slow
		}
		return replicas.Failed
	case search.Unknown:
		if r.ctx.Err() == nil && !reply.TimedOut {
			return replicas.Failed
		}
	}
	if r.ctx.Err() != nil && !errors.Is(context.Cause(r.ctx), errStray) || reply.LocalFailure {
		return replicas.Abandoned
	}
	return replicas.Lost
}

func (r *run) took(together []ended) (search.Verdict, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	for i := range together {
		r.end(now, &together[i], len(together) > 1)
	}
	if r.half.IsZero() && 2*r.search.Covered() >= r.plan.Parts {
		r.half = now
	}
	return r.search.Verdict(now), r.search.Next(now)
}

// end takes the end of a send. The records of parts that came merged cannot be
// told apart, so that they replace an answer that a part had before.
func (r *run) end(now time.Time, e *ended, merged bool) {
	outcome := r.judge(&e.reply)
	sends, use := r.search.Ended(now, &r.chooser, e.send, outcome, nil)
	if use || merged && outcome == search.Good {
		r.replies[e.send.Part] = e.reply
	}
	if outcome != search.Good {
		r.unusual = true
	}
	r.note(*e)
	r.begin(now, sends)
}

// judge returns the outcome of a reply for the route. A target's own refusal of
// what the caller asked is the answer to a request for one target.
func (r *run) judge(reply *exchange.Reply) search.Outcome {
	if reply.Outcome == search.Failed && !r.route.IsSearch() && reply.MAC != "" && reply.Status < http.StatusInternalServerError {
		return search.Good
	}
	if reply.Outcome == search.Failed {
		r.last = reply
	}
	return reply.Outcome
}

func (r *run) tick() (search.Verdict, time.Time) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r.chooser.now = now
	r.begin(now, r.search.Tick(now, &r.chooser, nil))
	return r.search.Verdict(now), r.search.Next(now)
}

// left ends a request whose caller has gone.
func (r *run) left() Answer {
	time.AfterFunc(leftTime, func() { r.cancel(errLeft) })
	r.g.tally.Add("answers-left", 1)
	a := Answer{Kind: CallerLeft, Reason: "caller-left"}
	r.write(a)
	return a
}

// finish lets sends go on for a while that are still under way, so that their
// connections can be kept.
func (r *run) finish(a Answer) {
	time.AfterFunc(strayTime, func() { r.cancel(errStray) })
	if r.route.IsSearch() {
		r.g.mu.Lock()
		r.g.ended(time.Now(), a.Kind == Merged)
		r.g.mu.Unlock()
	}
	r.g.tally.Add("answers-"+a.Kind.String(), 1)
	took := time.Since(r.request.Arrived).Microseconds()
	r.g.tally.Observe("answer-us-"+a.Kind.String(), took)
	r.g.tally.ObserveGroup("answer-us-route", r.route.Name, took)
	if r.unusual || a.Kind != Served && (a.Kind != Merged || a.MissingShards > 0) {
		r.write(a)
	}
}

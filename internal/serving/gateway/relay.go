package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

const (
	reasonRelayBroken = "relay-broken"
	reasonUnusable    = "target-unusable"
)

// viaRelay reports whether a send may go through a host of the target's data
// centre: the first sends of searches to warm targets elsewhere. Second sends go
// directly, so that they do not depend on the same host.
func (r *activeRequest) viaRelay(now time.Time, s search.Attempt, k *catalog.Entry) bool {
	return s.Reason == search.First && r.route.IsSearch() && k.DataCentre != r.g.dataCentre && !now.Before(k.ColdUntil)
}

// relayedAttempts is the parts of a request that go through another host.
type relayedAttempts struct {
	request         *activeRequest
	host            string
	attempts        []search.Attempt
	tokens          []uint64
	done            []bool
	resultsReceived bool
}

// sendViaRelay asks for parts through a host of a data centre and reports whether there
// is one. The gateway is locked.
func (r *activeRequest) sendViaRelay(now time.Time, dataCentre string, sends []search.Attempt) bool {
	g := r.g
	host := g.pickRelay(dataCentre)
	if host == "" {
		return false
	}
	p := &relayedAttempts{request: r, host: host, attempts: sends, done: make([]bool, len(sends))}
	ask := relay.Request{
		CallerRequest: &r.outgoing, SoftDeadline: r.plan.SoftDeadline, Deadline: r.plan.Deadline, MaxRecords: r.route.TopK,
		FlushTime: now.Add(max(relayFlushLatencies*r.typical, minRelayFlush)),
	}
	for _, s := range sends {
		ask.Targets = append(ask.Targets, s.Target)
		p.tokens = append(p.tokens, g.tracker.Begin(now, s.Target, r.typical))
	}
	cancel, ok := g.relays.Send(host, ask, p)
	if !ok {
		p.endAll(now, replicas.Abandoned)
		return false
	}
	g.stats.Add("relay-messages", 1)
	g.stats.Add("relay-parts", len(sends))
	context.AfterFunc(r.ctx, func() {
		if cancel() {
			p.cancelled()
		}
	})
	return true
}

// pickRelay returns a host of the data centre that can be asked for parts, or "".
func (g *Gateway) pickRelay(dataCentre string) string {
	hosts := g.fleet.AppendRelays(nil, dataCentre)
	g.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		if g.relays.Ready(h) {
			return h
		}
	}
	return ""
}

// endAll ends the parts that have no answer. The gateway is locked.
func (p *relayedAttempts) endAll(now time.Time, result replicas.Result) {
	for i, s := range p.attempts {
		if !p.done[i] {
			p.done[i] = true
			p.request.g.tracker.End(now, s.Target, p.tokens[i], result, p.request.typical)
		}
	}
}

// expects reports whether the parts are ones that were asked and not told of.
func (p *relayedAttempts) expects(t relay.Results) bool {
	seen := map[int]bool{}
	for _, part := range t.Parts {
		if part.Index < 0 || part.Index >= len(p.attempts) || p.done[part.Index] || seen[part.Index] {
			return false
		}
		seen[part.Index] = true
	}
	return true
}

// HandleResults implements relay.Receiver.
func (p *relayedAttempts) HandleResults(t relay.Results) {
	r, now := p.request, time.Now()
	r.g.mu.Lock()
	if !p.expects(t) {
		r.g.mu.Unlock()
		p.HandleFailure(errors.New("parts that were not asked"))
		return
	}
	p.resultsReceived = true
	together := make([]attemptResult, 0, len(t.Parts))
	records := t.TopRecords
	for _, part := range t.Parts {
		p.done[part.Index] = true
		e := attemptResult{attempt: p.attempts[part.Index], reply: part.Reply, latency: part.Elapsed}
		if e.reply.Outcome == search.Good {
			e.reply.Body, records = records, nil
		}
		r.g.tracker.EndWithLatency(now, e.attempt.Target, p.tokens[part.Index], r.replicaResult(e.reply, now), r.typical, part.Elapsed)
		together = append(together, e)
	}
	r.g.mu.Unlock()
	for _, e := range together {
		r.recordResult(now, e.attempt, &e.reply, e.latency)
	}
	r.results <- together
}

// HandleFailure implements relay.Receiver.
func (p *relayedAttempts) HandleFailure(err error) {
	r, now := p.request, time.Now()
	r.g.stats.Add("relay-broken", 1)
	var open []attemptResult
	r.g.mu.Lock()
	for i, s := range p.attempts {
		if !p.done[i] {
			reply := exchange.Reply{Outcome: search.Unknown, Reason: reasonRelayBroken, LocalFailure: true, Err: err}
			open = append(open, attemptResult{attempt: s, reply: reply})
		}
	}
	p.endAll(now, replicas.Abandoned)
	r.g.mu.Unlock()
	for _, e := range open {
		r.results <- []attemptResult{e}
	}
}

// cancelled ends the parts that nobody waits for any more. If the host told of none of
// them, it may be the host that is silent.
func (p *relayedAttempts) cancelled() {
	r := p.request
	result := replicas.Abandoned
	if stray := errors.Is(context.Cause(r.ctx), errAnswerNotNeeded); stray {
		if p.resultsReceived {
			result = replicas.Unreachable
		} else {
			r.g.relays.BackOff(p.host)
		}
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	p.endAll(time.Now(), result)
}

// Forward sends a part for another host.
func (g *Gateway) Forward(ctx context.Context, target string, a *exchange.Request, left func() time.Duration) exchange.Reply {
	g.mu.Lock()
	k := g.usableTarget(target)
	g.mu.Unlock()
	if k == nil {
		return exchange.Reply{Outcome: search.NotSent, Reason: reasonUnusable, LocalFailure: true}
	}
	g.stats.Add("relay-forwarded", 1)
	g.partsSent.Add(1)
	return g.pool.Do(ctx, exchange.Target{ID: k.ID, Address: k.Address}, a, func() time.Duration {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.usableTarget(target) == nil {
			return 0
		}
		return left()
	})
}

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

// viaRelay reports whether an attempt can be relayed by a host of the target's data
// centre: the first attempts of searches, to warm targets in other data centres. Retries
// and hedges are sent directly, so that they do not depend on the same relay.
func (r *activeRequest) viaRelay(now time.Time, a search.Attempt, e *catalog.Entry) bool {
	return a.Reason == search.First && r.route.IsSearch() && e.DataCentre != r.g.dataCentre && !now.Before(e.ColdUntil)
}

// relayedAttempts are the attempts of a request that one other host relays.
type relayedAttempts struct {
	request         *activeRequest
	host            string
	attempts        []search.Attempt
	tokens          []uint64
	done            []bool
	resultsReceived bool
}

// sendViaRelay sends parts through a host of a data centre and reports whether there is
// a host that can relay them. The gateway is locked.
func (r *activeRequest) sendViaRelay(now time.Time, dataCentre string, attempts []search.Attempt) bool {
	g := r.g
	host := g.pickRelay(dataCentre)
	if host == "" {
		return false
	}
	ra := &relayedAttempts{request: r, host: host, attempts: attempts, done: make([]bool, len(attempts))}
	req := relay.Request{
		CallerRequest: &r.outgoing, SoftDeadline: r.plan.SoftDeadline, Deadline: r.plan.Deadline, MaxRecords: r.route.TopK,
		FlushTime: now.Add(max(relayFlushLatencies*r.typical, minRelayFlush)),
	}
	for _, a := range attempts {
		req.Targets = append(req.Targets, a.Target)
		ra.tokens = append(ra.tokens, g.tracker.Begin(now, a.Target, r.typical))
	}
	cancel, ok := g.relays.Send(host, req, ra)
	if !ok {
		ra.endAll(now, replicas.Abandoned)
		return false
	}
	g.stats.Add("relay-messages", 1)
	g.stats.Add("relay-parts", len(attempts))
	context.AfterFunc(r.ctx, func() {
		if cancel() {
			ra.cancelled()
		}
	})
	return true
}

// pickRelay returns the address of a random host of the data centre that can relay parts,
// or "".
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

// endAll records the result for the attempts that have none. The gateway is locked.
func (ra *relayedAttempts) endAll(now time.Time, result replicas.Result) {
	for i, a := range ra.attempts {
		if !ra.done[i] {
			ra.done[i] = true
			ra.request.g.tracker.End(now, a.Target, ra.tokens[i], result, ra.request.typical)
		}
	}
}

// expects reports whether all parts of the results were requested and have no result yet.
func (ra *relayedAttempts) expects(results relay.Results) bool {
	seen := map[int]bool{}
	for _, part := range results.Parts {
		if part.Index < 0 || part.Index >= len(ra.attempts) || ra.done[part.Index] || seen[part.Index] {
			return false
		}
		seen[part.Index] = true
	}
	return true
}

// HandleResults implements relay.ResultHandler.
func (ra *relayedAttempts) HandleResults(received relay.Results) {
	r, now := ra.request, time.Now()
	r.g.mu.Lock()
	if !ra.expects(received) {
		r.g.mu.Unlock()
		ra.HandleFailure(errors.New("relay sent results for parts that were not requested"))
		return
	}
	ra.resultsReceived = true
	results := make([]attemptResult, 0, len(received.Parts))
	records := received.TopRecords
	for _, part := range received.Parts {
		ra.done[part.Index] = true
		result := attemptResult{attempt: ra.attempts[part.Index], reply: part.Reply, latency: part.Elapsed}
		r.g.heed(now, result.attempt.Target, &result.reply)
		if result.reply.Outcome == search.Good {
			// The merged records stand for all parts; the first good one carries them.
			result.reply.Body, records = records, nil
		}
		r.g.tracker.EndWithLatency(now, result.attempt.Target, ra.tokens[part.Index], r.replicaResult(result.reply, now), r.typical, part.Elapsed)
		results = append(results, result)
	}
	r.g.mu.Unlock()
	for _, result := range results {
		r.recordResult(now, result.attempt, &result.reply, result.latency)
	}
	r.results <- results
}

// HandleFailure implements relay.ResultHandler.
func (ra *relayedAttempts) HandleFailure(err error) {
	r, now := ra.request, time.Now()
	r.g.stats.Add("relay-broken", 1)
	var unanswered []attemptResult
	r.g.mu.Lock()
	for i, a := range ra.attempts {
		if !ra.done[i] {
			reply := exchange.Reply{Outcome: search.Unknown, Reason: reasonRelayBroken, LocalFailure: true, Err: err}
			unanswered = append(unanswered, attemptResult{attempt: a, reply: reply})
		}
	}
	ra.endAll(now, replicas.Abandoned)
	r.g.mu.Unlock()
	for _, result := range unanswered {
		r.results <- []attemptResult{result}
	}
}

// cancelled ends the attempts without a result after the request was cancelled. If that is
// because the request is already answered, the targets count as unreachable. But if the
// relay has sent no results at all, the relay may be what does not respond, so it is put
// into back-off instead.
func (ra *relayedAttempts) cancelled() {
	r := ra.request
	result := replicas.Abandoned
	if late := errors.Is(context.Cause(r.ctx), errAnswerNotNeeded); late {
		if ra.resultsReceived {
			result = replicas.Unreachable
		} else {
			r.g.relays.BackOff(ra.host)
		}
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	ra.endAll(time.Now(), result)
}

// Forward sends a part to a target on behalf of another host. timeLeft returns the time
// left for the part. Parts are not forwarded to a target whose rate is limited because it is
// cold, since only hosts with a permission send to it; the other host may not know yet that
// it has turned cold.
func (g *Gateway) Forward(ctx context.Context, target string, req *exchange.Request, timeLeft func() time.Duration) exchange.Reply {
	e := g.forwardTarget(target)
	if e == nil {
		return exchange.Reply{Outcome: search.NotSent, Reason: reasonUnusable, LocalFailure: true, Statement: g.statementOf(target)}
	}
	g.stats.Add("relay-forwarded", 1)
	g.partsSent.Add(1)
	t := g.address(e)
	reply := g.pool.Do(ctx, t, req, func() time.Duration {
		if g.forwardTarget(target) == nil {
			return 0
		}
		return timeLeft()
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heed(time.Now(), target, &reply)
	return reply
}

// forwardTarget returns the target if parts of other hosts can be sent to it, or nil.
func (g *Gateway) forwardTarget(id string) *catalog.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	e := g.usableTarget(now, id)
	if e == nil || g.rateLimited(now, e) {
		return nil
	}
	return e
}

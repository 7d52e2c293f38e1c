package gateway

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/internal/serving/search"
)

// answer returns the answer for a decision.
func (r *activeRequest) answer(d search.Decision) Answer {
	switch d {
	case search.Answer:
		if r.route.IsSearch() {
			return r.mergedAnswer()
		}
		reply := &r.replies[0]
		return Answer{Kind: Served, Status: reply.Status, Header: reply.Header, Body: reply.Body}
	case search.Refuse:
		return r.refusalAnswer()
	case search.Expire:
		return r.failureAnswer(Expired, "no-time")
	}
	return r.failureAnswer(Failed, "no-target-answered")
}

// mergedAnswer returns the answer merged from the parts that were answered.
func (r *activeRequest) mergedAnswer() Answer {
	a := Answer{Kind: Merged}
	var bodies [][]byte
	seen := map[string]bool{}
	for i := range r.replies {
		reply := &r.replies[i]
		if reply.Outcome != search.Good || reply.MAC == "" {
			continue
		}
		invariant.Check(!seen[reply.MAC], "one-part-a-shard", "id", r.request.ID)
		seen[reply.MAC] = true
		a.PartMACs = append(a.PartMACs, reply.MAC)
		bodies = append(bodies, reply.Body)
	}
	a.MissingShards = len(r.replies) - len(a.PartMACs)
	invariant.Check(len(a.PartMACs) == r.search.Covered() && len(a.PartMACs) >= r.plan.MinParts, "coverage-is-true", "id", r.request.ID)
	a.Body = search.Merge(nil, bodies, r.route.TopK)
	r.g.stats.Add("shards-missing", a.MissingShards)
	return a
}

// failureAnswer returns the answer to a failed request. If a single target serves the
// route and its last reply was an authenticated failure, the caller gets that reply.
func (r *activeRequest) failureAnswer(k Kind, reason string) Answer {
	if r.lastFailure != nil && r.forwardsFailure(r.lastFailure) && k == Failed {
		return Answer{Kind: Served, Status: r.lastFailure.Status, Header: r.lastFailure.Header, Body: r.lastFailure.Body, Reason: reason}
	}
	return Answer{Kind: k, Reason: reason}
}

// refusalAnswer returns the answer to a request for which no target was available.
func (r *activeRequest) refusalAnswer() Answer {
	g := r.g
	g.mu.Lock()
	wait := r.untilServable(time.Now())
	jitter := time.Duration(g.random.Int64N(int64(minRetryAfter + wait/retryAfterSpread)))
	g.mu.Unlock()
	g.stats.Add("refused-no-target", 1)
	return Answer{Kind: Refused, Reason: "no-target", RetryAfter: wait + jitter}
}

// untilServable returns the time until enough services of the request are expected to have a
// target that can be used. The gateway is locked.
func (r *activeRequest) untilServable(now time.Time) time.Duration {
	waits := make([]time.Duration, 0, len(r.chooser.services))
	for _, service := range r.chooser.services {
		waits = append(waits, r.g.untilUsable(now, service))
	}
	slices.Sort(waits)
	return max(minRetryAfter, waits[min(r.plan.MinParts, len(waits))-1])
}

// untilUsable returns the time until a target of a service is expected to be usable, at most
// maxRetryAfter unless all targets are closed for longer. The gateway is locked.
func (g *Gateway) untilUsable(now time.Time, service string) time.Duration {
	earliest := time.Duration(math.MaxInt64)
	for _, e := range g.catalog.Service(service) {
		if !g.catalog.Usable(e) {
			continue
		}
		wait := g.catalog.ClosedFor(now, e)
		if wait == 0 {
			wait = min(maxRetryAfter, g.tracker.Replica(e.ID).EjectionLeft(now))
		}
		earliest = min(earliest, wait)
	}
	if earliest == math.MaxInt64 {
		return maxRetryAfter
	}
	return earliest
}

// loggedAttempt is an attempt and its outcome, as logged for a request.
type loggedAttempt struct {
	part, number int
	target       string
	cause        search.Reason
	outcome      string
	latency      time.Duration
	// conn is the number of the connection to the target, or 0.
	conn uint64
}

// String returns the attempt as it is logged.
func (l loggedAttempt) String() string {
	text := fmt.Sprintf("%d/%d:%s:%s:%s:%dms", l.part, l.number, l.target, l.cause, l.outcome, l.latency.Milliseconds())
	if l.conn == 0 {
		return text
	}
	return fmt.Sprintf("%s:conn-%d", text, l.conn)
}

// maxLoggedAttempts is the maximum number of attempts that are logged for a request.
const maxLoggedAttempts = 12

// recordAttempt keeps the result of an attempt for the log, unless it is a first attempt
// that succeeded.
func (r *activeRequest) recordAttempt(result attemptResult) {
	if result.attempt.Reason == search.First && result.reply.Outcome == search.Good || len(r.loggedAttempts) >= maxLoggedAttempts {
		return
	}
	outcome := result.reply.Reason
	if result.reply.Outcome == search.Good {
		outcome = "good"
	}
	r.loggedAttempts = append(r.loggedAttempts, loggedAttempt{
		part: result.attempt.Part, number: result.attempt.Number, target: result.attempt.Target,
		cause: result.attempt.Reason, outcome: outcome, latency: result.latency, conn: result.reply.Conn,
	})
}

// logOutcome logs the answer to a request, its attempts, and the reasons for missing
// parts.
func (r *activeRequest) logOutcome(a Answer) {
	var loggedAttempts, missing strings.Builder
	for _, l := range r.loggedAttempts {
		fmt.Fprintf(&loggedAttempts, "%s ", l)
	}
	if a.Kind != Served {
		r.search.EachMissing(func(part int, tried []string) {
			fmt.Fprintf(&missing, "%d:%s:%s ", part, r.chooser.services[part], r.missingReason(part, tried))
		})
	}
	r.g.log.Info("request", "id", r.request.ID, "route", r.route.Name, "version", r.manifestVersion, "outcome", a.Kind.String(),
		"reason", a.Reason, "status", a.Status, "took-ms", time.Since(r.request.Arrived).Milliseconds(),
		"covered", r.search.Covered(), "least", r.plan.MinParts, "parts", r.plan.Parts,
		"hedge-ms", r.plan.HedgeDelay.Milliseconds(), "usual-ms", r.typical.Milliseconds(), "aim-ms", r.route.LatencyTarget.Milliseconds(), "over-budget", r.chooser.budgetRefusals,
		"missing", strings.TrimSpace(missing.String()), "sends", strings.TrimSpace(loggedAttempts.String()))
}

// missingReason returns the reason why a part is unanswered: the targets that it was sent
// to, or the state of each target of the service.
func (r *activeRequest) missingReason(part int, tried []string) string {
	if len(tried) > 0 {
		return "unanswered-by=" + strings.Join(tried, ",")
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	entries := g.catalog.Service(r.chooser.services[part])
	if len(entries) == 0 {
		return "no-targets"
	}
	var states []string
	for _, e := range entries {
		state := g.stateOf(now, e).String()
		if left := g.tracker.Replica(e.ID).EjectionLeft(now); left > 0 {
			state = fmt.Sprintf("%s-%dms", state, left.Milliseconds())
		}
		states = append(states, e.ID+"="+state)
	}
	return strings.Join(states, ",")
}

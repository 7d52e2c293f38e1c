package gateway

import (
	"fmt"
	"strings"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

// answer makes the answer for a verdict.
func (r *activeRequest) answer(v search.Decision) Answer {
	switch v {
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

// failureAnswer passes on the failure of a target if there is one.
func (r *activeRequest) failureAnswer(k Kind, reason string) Answer {
	if r.lastFailure != nil && !r.route.IsSearch() && r.lastFailure.MAC != "" && k == Failed {
		return Answer{Kind: Served, Status: r.lastFailure.Status, Header: r.lastFailure.Header, Body: r.lastFailure.Body, Reason: reason}
	}
	return Answer{Kind: k, Reason: reason}
}

func (r *activeRequest) refusalAnswer() Answer {
	g := r.g
	g.mu.Lock()
	now := time.Now()
	wait := minRetryAfter
	for _, s := range r.chooser.services {
		var candidates []replicas.Candidate
		for _, k := range g.catalog.Service(s) {
			candidates = append(candidates, replicas.Candidate{ID: k.ID})
		}
		wait = max(wait, g.tracker.MinEjectionLeft(now, candidates))
	}
	spread := time.Duration(g.random.Int64N(int64(minRetryAfter)))
	g.mu.Unlock()
	g.stats.Add("refused-no-target", 1)
	return Answer{Kind: Refused, Reason: "no-target", RetryAfter: min(maxRetryAfter, wait) + spread}
}

// loggedAttempt is a line in the trail of a request: a send and how it ended.
type loggedAttempt struct {
	part, number int
	target       string
	cause        search.Reason
	outcome      string
	latency      time.Duration
}

// maxLoggedAttempts is the number of steps that are logged for a request.
const maxLoggedAttempts = 12

func (r *activeRequest) noteAttempt(e attemptResult) {
	if e.attempt.Reason == search.First && e.reply.Outcome == search.Good || len(r.loggedAttempts) >= maxLoggedAttempts {
		return
	}
	reason := e.reply.Reason
	if e.reply.Outcome == search.Good {
		reason = "good"
	}
	r.loggedAttempts = append(r.loggedAttempts, loggedAttempt{
		part: e.attempt.Part, number: e.attempt.Number, target: e.attempt.Target, cause: e.attempt.Reason, outcome: reason, latency: e.latency,
	})
}

// logOutcome logs what became of a request and why.
func (r *activeRequest) logOutcome(a Answer) {
	var trail, missing strings.Builder
	for _, s := range r.loggedAttempts {
		fmt.Fprintf(&trail, "%d/%d:%s:%s:%s:%dms ", s.part, s.number, s.target, s.cause, s.outcome, s.latency.Milliseconds())
	}
	if a.Kind != Served {
		r.search.EachMissing(func(part int, late bool, tried []string) {
			fmt.Fprintf(&missing, "%d:%s:%s ", part, r.chooser.services[part], r.missingReason(part, late, tried))
		})
	}
	r.g.log.Info("request", "id", r.request.ID, "route", r.route.Name, "version", r.manifestVersion, "outcome", a.Kind.String(),
		"reason", a.Reason, "status", a.Status, "took-ms", time.Since(r.request.Arrived).Milliseconds(),
		"covered", r.search.Covered(), "least", r.plan.MinParts, "parts", r.plan.Parts,
		"hedge-ms", r.plan.HedgeDelay.Milliseconds(), "usual-ms", r.typical.Milliseconds(), "aim-ms", r.route.LatencyTarget.Milliseconds(), "over-budget", r.chooser.budgetRefusals,
		"missing", strings.TrimSpace(missing.String()), "sends", strings.TrimSpace(trail.String()))
}

// missingReason says why a part is not in: the targets it was sent to, or what kept
// each target of the service from being asked.
func (r *activeRequest) missingReason(part int, late bool, tried []string) string {
	if late {
		return "left-out-as-late"
	}
	if len(tried) > 0 {
		return "unanswered-by=" + strings.Join(tried, ",")
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	known := g.catalog.Service(r.chooser.services[part])
	if len(known) == 0 {
		return "no-targets"
	}
	var why []string
	for _, k := range known {
		word := g.stateOf(now, k).String()
		if rest := g.tracker.Replica(k.ID).EjectionLeft(now); rest > 0 {
			word = fmt.Sprintf("%s-%dms", word, rest.Milliseconds())
		}
		why = append(why, k.ID+"="+word)
	}
	return strings.Join(why, ",")
}

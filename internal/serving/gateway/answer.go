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
func (r *run) answer(v search.Verdict) Answer {
	switch v {
	case search.Answer:
		if r.route.IsSearch() {
			return r.merged()
		}
		reply := &r.replies[0]
		return Answer{Kind: Served, Status: reply.Status, Header: reply.Header, Body: reply.Body}
	case search.Refuse:
		return r.refused()
	case search.Expire:
		return r.failed(Expired, "no-time")
	}
	return r.failed(Failed, "no-target-answered")
}

func (r *run) merged() Answer {
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
	r.g.tally.Add("shards-missing", a.MissingShards)
	return a
}

// failed passes on the failure of a target if there is one.
func (r *run) failed(k Kind, reason string) Answer {
	if r.last != nil && !r.route.IsSearch() && r.last.MAC != "" && k == Failed {
		return Answer{Kind: Served, Status: r.last.Status, Header: r.last.Header, Body: r.last.Body, Reason: reason}
	}
	return Answer{Kind: k, Reason: reason}
}

func (r *run) refused() Answer {
	g := r.g
	g.mu.Lock()
	now := time.Now()
	wait := retryLeast
	for _, s := range r.chooser.services {
		var candidates []replicas.Candidate
		for _, k := range g.catalog.Service(s) {
			candidates = append(candidates, replicas.Candidate{ID: k.ID})
		}
		wait = max(wait, g.board.Wait(now, candidates))
	}
	spread := time.Duration(g.random.Int64N(int64(retryLeast)))
	g.mu.Unlock()
	g.tally.Add("refused-no-target", 1)
	return Answer{Kind: Refused, Reason: "no-target", RetryAfter: min(retryMost, wait) + spread}
}

// step is a line in the trail of a request: a send and how it ended.
type step struct {
	part, number int
	target       string
	why          search.Reason
	reason       string
	took         time.Duration
}

// trailMost is the number of steps that are logged for a request.
const trailMost = 12

func (r *run) note(e ended) {
	if e.send.Reason == search.First && e.reply.Outcome == search.Good || len(r.trail) >= trailMost {
		return
	}
	reason := e.reply.Reason
	if e.reply.Outcome == search.Good {
		reason = "good"
	}
	r.trail = append(r.trail, step{
		part: e.send.Part, number: e.send.Number, target: e.send.Target, why: e.send.Reason, reason: reason, took: e.took,
	})
}

// write logs what became of a request and why.
func (r *run) write(a Answer) {
	var trail, missing strings.Builder
	for _, s := range r.trail {
		fmt.Fprintf(&trail, "%d/%d:%s:%s:%s:%dms ", s.part, s.number, s.target, s.why, s.reason, s.took.Milliseconds())
	}
	if a.Kind != Served {
		r.search.Missing(func(part int, late bool, tried []string) {
			fmt.Fprintf(&missing, "%d:%s:%s ", part, r.chooser.services[part], r.whyMissing(part, late, tried))
		})
	}
	r.g.log.Info("request", "id", r.request.ID, "route", r.route.Name, "version", r.version, "outcome", a.Kind.String(),
		"reason", a.Reason, "status", a.Status, "took-ms", time.Since(r.request.Arrived).Milliseconds(),
		"covered", r.search.Covered(), "least", r.plan.MinParts, "parts", r.plan.Parts,
		"hedge-ms", r.plan.HedgeDelay.Milliseconds(), "usual-ms", r.usual.Milliseconds(), "aim-ms", r.route.LatencyTarget.Milliseconds(), "over-budget", r.chooser.refused,
		"missing", strings.TrimSpace(missing.String()), "sends", strings.TrimSpace(trail.String()))
}

// whyMissing says why a part is not in: the targets it was sent to, or what kept
// each target of the service from being asked.
func (r *run) whyMissing(part int, late bool, tried []string) string {
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
		if rest := g.board.Replica(k.ID).RestLeft(now); rest > 0 {
			word = fmt.Sprintf("%s-%dms", word, rest.Milliseconds())
		}
		why = append(why, k.ID+"="+word)
	}
	return strings.Join(why, ",")
}

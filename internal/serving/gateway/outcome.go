package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

// recordResult records the result of an attempt in the latencies and counters.
func (r *activeRequest) recordResult(now time.Time, a search.Attempt, reply *exchange.Reply, latency time.Duration) {
	if reply.Outcome != search.Good {
		r.g.stats.Add("sends-ended-"+reply.Reason, 1)
		return
	}
	r.g.latencies.Add(now, r.route.Name, latency)
	r.g.stats.ObserveGroup("part-us-service", r.chooser.services[a.Part], latency.Microseconds())
}

// replicaResult returns the result to record for the target of a reply. A target whose
// answer did not come within lateAnswerGrace after the answer to the caller counts as
// unreachable.
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
			return replicas.DeadlineExceeded
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

// outcomeOf returns the outcome of a reply for the route. If a single target serves the
// request, an authenticated redirection or client error (3xx or 4xx) of the target is the
// answer.
func (r *activeRequest) outcomeOf(reply *exchange.Reply) search.Outcome {
	if reply.Outcome == search.Failed && r.forwardsFailure(reply) && reply.Status < http.StatusInternalServerError {
		return search.Good
	}
	if reply.Outcome == search.Failed {
		r.lastFailure = reply
	}
	return reply.Outcome
}

// forwardsFailure reports whether a failed reply may be the answer to the caller: a single
// target serves the request, and the status is that target's and none of success.
func (r *activeRequest) forwardsFailure(reply *exchange.Reply) bool {
	return !r.route.IsSearch() && reply.MAC != "" && reply.Status >= http.StatusMultipleChoices
}

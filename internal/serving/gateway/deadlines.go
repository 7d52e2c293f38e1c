package gateway

import (
	"time"

	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/search"
)

// setDeadlines sets the deadline, the typical latency and the hedge delay of the request.
func (r *activeRequest) setDeadlines() {
	timeout := defaultTimeout
	if c := r.request.Timeout; c > 0 {
		timeout = max(c/2, c-deadlineMargin)
	}
	if t := r.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	r.plan.Deadline = r.request.Arrived.Add(timeout)
	if shutdownDeadline := r.g.shutdownDeadline.Load(); shutdownDeadline != nil && shutdownDeadline.Before(r.plan.Deadline) {
		r.plan.Deadline = *shutdownDeadline
	}
	group := r.route.Name
	r.typical = r.g.latencies.Quantile(group, 0.5)
	hedgeDelay := r.g.latencies.Quantile(group, hedgeQuantile)
	latencyTarget := r.route.LatencyTarget
	if latencyTarget == 0 {
		latencyTarget = timeout / 4
	}
	if r.typical == 0 {
		r.typical = time.Duration(defaultTypicalShare * float64(latencyTarget))
		hedgeDelay = latencyTarget
	}
	if !r.route.Idempotent {
		return
	}
	hedgeDelay = max(hedgeDelay, r.typical*3/2)
	if r.route.IsSearch() {
		hedgeDelay = search.HedgeDelay(latencyTarget, hedgeDelay, time.Since(r.g.startedAt))
	} else {
		hedgeDelay = min(hedgeDelay, time.Duration(maxSingleTargetHedgeShare*float64(latencyTarget)))
	}
	r.plan.HedgeDelay = max(minHedgeDelay, hedgeDelay)
}

// tooLate reports whether the host stops too soon to serve a request of a route.
func (g *Gateway) tooLate(route *manifest.Route) bool {
	shutdownDeadline := g.shutdownDeadline.Load()
	if shutdownDeadline == nil {
		return false
	}
	slowest := g.latencies.Quantile(route.Name, slowQuantile)
	return time.Until(*shutdownDeadline) < RequiredTime(route.Idempotent, route.LatencyTarget, slowest)
}

// RequiredTime returns the time that a stopping host must have left to accept a request.
// slowest is the latency of slow answers, or 0 if it is not known. A request that is not
// idempotent gets more time, because its caller cannot send it again once it has reached a
// target, while a refused one is served by another host.
func RequiredTime(idempotent bool, latencyTarget, slowest time.Duration) time.Duration {
	required := max(latencyTarget, minTimeToShutdown)
	if !idempotent {
		required = nonIdempotentMargin * max(required, slowest)
	}
	return required
}

// SoftDeadlineAfter returns the time from the arrival of a search to its soft deadline,
// such that the answer reaches the caller within the latency target. At least half of
// the latency target is left for the parts.
func SoftDeadlineAfter(latencyTarget, roundTrip time.Duration) time.Duration {
	return max(latencyTarget/2, latencyTarget-softDeadlineMargin-softDeadlineRoundTrips*roundTrip)
}

// StartupRetryAfter returns the time after which a caller should retry that was refused by
// a host which has waited for its manifest for some time. If the store is silent, the wait
// to come is about as long as the one so far.
func StartupRetryAfter(waited time.Duration) time.Duration {
	return min(maxStartupRetryAfter, max(minStartupRetryAfter, waited))
}

package gateway

import "time"

// timing sets when the request ends and when its parts are late.
func (r *run) timing() {
	patience := defaultPatience
	if p := r.request.Timeout; p > 0 {
		patience = max(p/2, p-endMargin)
	}
	if t := r.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	r.plan.Deadline = r.request.Arrived.Add(patience)
	if ends := r.g.ends.Load(); ends != nil && ends.Before(r.plan.Deadline) {
		r.plan.Deadline = *ends
	}
	group := r.route.Name
	r.usual = r.g.latencies.Quantile(group, 0.5)
	late := r.g.latencies.Quantile(group, hedgeQuantile)
	aim := r.route.LatencyTarget
	if aim == 0 {
		aim = patience / 4
	}
	if r.usual == 0 {
		r.usual = time.Duration(usualShare * float64(aim))
		late = aim
	}
	if !r.route.Idempotent {
		return
	}
	latest := lookupHedge
	if r.route.IsSearch() {
		latest = searchHedge
	}
	r.plan.HedgeDelay = max(hedgeLeast, min(max(late, r.usual*3/2), time.Duration(latest*float64(aim))))
}

// SoftDeadlineAfter returns how long after its arrival a search is answered if it has enough
// parts, so that the answer is with the caller by the aim of the route. Half of the
// aim is always left for the parts.
func SoftDeadlineAfter(aim, roundTrip time.Duration) time.Duration {
	return max(aim/2, aim-settleMargin-settleTrips*roundTrip)
}

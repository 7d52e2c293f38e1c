package gateway

import "time"

// setDeadlines sets when the request ends and when its parts are late.
func (r *activeRequest) setDeadlines() {
	patience := defaultTimeout
	if p := r.request.Timeout; p > 0 {
		patience = max(p/2, p-deadlineMargin)
	}
	if t := r.route.Timeout; t > 0 {
		patience = min(patience, t)
	}
	r.plan.Deadline = r.request.Arrived.Add(patience)
	if ends := r.g.shutdownDeadline.Load(); ends != nil && ends.Before(r.plan.Deadline) {
		r.plan.Deadline = *ends
	}
	group := r.route.Name
	r.typical = r.g.latencies.Quantile(group, 0.5)
	late := r.g.latencies.Quantile(group, hedgeQuantile)
	aim := r.route.LatencyTarget
	if aim == 0 {
		aim = patience / 4
	}
	if r.typical == 0 {
		r.typical = time.Duration(defaultTypicalShare * float64(aim))
		late = aim
	}
	if !r.route.Idempotent {
		return
	}
	latest := maxLookupHedgeShare
	if r.route.IsSearch() {
		latest = maxSearchHedgeShare
	}
	r.plan.HedgeDelay = max(minHedgeDelay, min(max(late, r.typical*3/2), time.Duration(latest*float64(aim))))
}

// SoftDeadlineAfter returns how long after its arrival a search is answered if it has enough
// parts, so that the answer is with the caller by the aim of the route. Half of the
// aim is always left for the parts.
func SoftDeadlineAfter(aim, roundTrip time.Duration) time.Duration {
	return max(aim/2, aim-softDeadlineMargin-softDeadlineRoundTrips*roundTrip)
}

package gateway

import (
	"time"

	"fescuerill/admission"
	"fescuerill/internal/routing/manifest"
)

// admit reports whether a request is admitted. The limit on searches follows the time
// until half of their parts are answered: single stragglers say nothing about the load,
// but when half of the parts take most of the available time, more searches only make
// all of them late.
func (g *Gateway) admit(req *Request, m *manifest.Manifest, route *manifest.Route) bool {
	if !route.IsSearch() {
		return true
	}
	limitShare := 1.0
	if req.Timeout > 0 && float64(req.Timeout) < retryTimeoutShare*float64(route.Timeout) {
		limitShare = retryLimitShare
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.IsLowPriority(route) {
		return g.limiter.TryAcquireLowPriority(limitShare)
	}
	return g.limiter.TryAcquireFraction(limitShare)
}

// jitter returns a random time between d and 2*d.
func (g *Gateway) jitter(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d + time.Duration(g.random.Int64N(int64(d)))
}

// releaseAdmission releases the admission of a search and reports to the limiter the
// share of the available time that half of its parts took.
func (r *activeRequest) releaseAdmission(now time.Time) {
	if !r.route.IsSearch() {
		return
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	deadline := r.plan.SoftDeadline
	if deadline.IsZero() {
		deadline = r.plan.Deadline
	}
	halfCoveredAt := now
	if !r.halfCoveredAt.IsZero() {
		halfCoveredAt = r.halfCoveredAt
	}
	used := float64(halfCoveredAt.Sub(r.request.Arrived)) / float64(deadline.Sub(r.request.Arrived))
	g.limiter.Release(now, admission.Result{TimeFraction: min(1, used)})
}

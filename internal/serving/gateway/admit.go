package gateway

import (
	"time"

	"fescuerill/admission"
	"fescuerill/internal/routing/manifest"
)

// admit reports whether a request may begin. Searches are bounded by how fast
// half of their parts come back: single stragglers say nothing about the load,
// but when half of the parts take most of the time, more searches only make all
// of them late.
func (g *Gateway) admit(q *Request, m *manifest.Manifest, route *manifest.Route) bool {
	if !route.IsSearch() {
		return true
	}
	part := 1.0
	if q.Timeout > 0 && float64(q.Timeout) < returnShare*float64(route.Timeout) {
		part = returnPart
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.IsLowPriority(route) {
		return g.limiter.TryAcquireLowPriority(part)
	}
	return g.limiter.TryAcquireFraction(part)
}

// spread returns a time from the given one to twice as much.
func (g *Gateway) spread(d time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return d + time.Duration(g.random.Int64N(int64(d)))
}

// discharge ends an admitted search.
func (r *run) discharge(now time.Time) {
	if !r.route.IsSearch() {
		return
	}
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	settle := r.plan.SoftDeadline
	if settle.IsZero() {
		settle = r.plan.Deadline
	}
	half := now
	if !r.half.IsZero() {
		half = r.half
	}
	used := float64(half.Sub(r.request.Arrived)) / float64(settle.Sub(r.request.Arrived))
	g.limiter.Release(now, admission.Result{TimeFraction: min(1, used)})
}

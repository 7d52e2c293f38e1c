package gateway

import (
	"time"

	"fescuerill/internal/routing/catalog"
)

// targetState is what the host holds of a target, as far as it decides whether the
// target is asked.
type targetState int

const (
	stateUsable targetState = iota
	stateCold
	stateEjected
	stateLeaving
	stateEvacuated
)

var targetStateNames = [...]string{"usable", "cold", "resting", "leaving", "out"}

// String returns the name of the state.
func (s targetState) String() string { return targetStateNames[s] }

// stateOf returns the state of a target. The gateway is locked.
func (g *Gateway) stateOf(now time.Time, k *catalog.Known) targetState {
	switch {
	case k.Leaving:
		return stateLeaving
	case g.catalog.Out(k.DataCentre):
		return stateEvacuated
	case now.Before(k.ColdUntil):
		return stateCold
	case g.tracker.Copy(k.ID).Ejected(now):
		return stateEjected
	}
	return stateUsable
}

// Gauge puts what the gateway believes into its counters: the targets in each
// state, the second sends that the retry budgets still allow, and the searches
// that may be under way.
func (g *Gateway) Gauge(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts [len(targetStateNames)]int
	g.catalog.Each(func(k *catalog.Known) { counts[g.stateOf(now, k)]++ })
	for s, n := range counts {
		g.stats.Gauge("targets-"+targetState(s).String(), n)
	}
	for service, w := range g.retryBudgets {
		g.stats.Gauge("retry-budget-left-"+service, w.Left(now))
	}
	g.stats.Gauge("search-limit", g.limiter.Limit())
	g.stats.Gauge("searches-running", g.limiter.Running())
}

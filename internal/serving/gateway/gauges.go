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
func (g *Gateway) stateOf(now time.Time, k *catalog.Entry) targetState {
	switch {
	case k.Leaving:
		return stateLeaving
	case g.catalog.Evacuated(k.DataCentre):
		return stateEvacuated
	case now.Before(k.ColdUntil):
		return stateCold
	case g.tracker.Replica(k.ID).Ejected(now):
		return stateEjected
	}
	return stateUsable
}

// UpdateGauges puts what the gateway believes into its counters: the targets in each
// state, the second sends that the retry budgets still allow, and the searches
// that may be under way.
func (g *Gateway) UpdateGauges(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts [len(targetStateNames)]int
	g.catalog.Each(func(k *catalog.Entry) { counts[g.stateOf(now, k)]++ })
	for s, n := range counts {
		g.stats.SetGauge("targets-"+targetState(s).String(), n)
	}
	for service, w := range g.retryBudgets {
		g.stats.SetGauge("retry-budget-left-"+service, w.Available(now))
	}
	g.stats.SetGauge("search-limit", g.limiter.Limit())
	g.stats.SetGauge("searches-running", g.limiter.InFlight())
}

package gateway

import (
	"time"

	"fescuerill/internal/routing/catalog"
)

// targetState is the state of a target that decides whether it gets requests.
type targetState int

const (
	stateUsable targetState = iota
	stateCold
	stateEjected
	stateLeaving
	stateEvacuated
	stateClosed
)

var targetStateNames = [...]string{"usable", "cold", "resting", "leaving", "out", "closed"}

// String returns the name of the state.
func (s targetState) String() string { return targetStateNames[s] }

// stateOf returns the state of a target. The gateway is locked.
func (g *Gateway) stateOf(now time.Time, e *catalog.Entry) targetState {
	switch {
	case g.catalog.Leaving(e):
		return stateLeaving
	case g.catalog.Evacuated(e.DataCentre):
		return stateEvacuated
	case g.catalog.ClosedFor(now, e) > 0:
		return stateClosed
	case now.Before(e.ColdUntil):
		return stateCold
	case g.tracker.Replica(e.ID).Ejected(now):
		return stateEjected
	}
	return stateUsable
}

// UpdateGauges sets the gauges of the gateway: the targets in each state, the additional
// requests that the retry budgets still allow and the hosts that share these, the memory of
// answers, and the limit and number of searches in flight.
func (g *Gateway) UpdateGauges(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts [len(targetStateNames)]int
	g.catalog.Each(func(e *catalog.Entry) { counts[g.stateOf(now, e)]++ })
	for state, n := range counts {
		g.stats.SetGauge("targets-"+targetState(state).String(), n)
	}
	for service, b := range g.retryBudgets.services {
		g.stats.SetGauge("retry-budget-left-"+service, b.Available(now))
	}
	g.stats.SetGauge("retry-budget-hosts", g.retryBudgets.hosts)
	g.stats.SetGauge("answer-bytes-held", int(g.pool.HeldMemory()))
	g.stats.SetGauge("answer-bytes-peak", int(g.pool.PeakMemory()))
	g.stats.SetGauge("search-limit", g.limiter.Limit())
	g.stats.SetGauge("searches-running", g.limiter.InFlight())
}

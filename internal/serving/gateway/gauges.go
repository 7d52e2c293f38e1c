package gateway

import (
	"time"

	"fescuerill/internal/routing/catalog"
)

// targetState is what the host holds of a target, as far as it decides whether the
// target is asked.
type targetState int

const (
	usable targetState = iota
	cold
	resting
	leaving
	out
)

var targetStates = [...]string{"usable", "cold", "resting", "leaving", "out"}

// String returns the name of the state.
func (s targetState) String() string { return targetStates[s] }

// stateOf returns the state of a target. The gateway is locked.
func (g *Gateway) stateOf(now time.Time, k *catalog.Entry) targetState {
	switch {
	case k.Leaving:
		return leaving
	case g.catalog.Evacuated(k.DataCentre):
		return out
	case now.Before(k.ColdUntil):
		return cold
	case g.board.Replica(k.ID).Resting(now):
		return resting
	}
	return usable
}

// UpdateGauges puts what the gateway believes into its counters: the targets in each
// state, the second sends that the retry budgets still allow, and the searches
// that may be under way.
func (g *Gateway) UpdateGauges(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts [len(targetStates)]int
	g.catalog.Each(func(k *catalog.Entry) { counts[g.stateOf(now, k)]++ })
	for s, n := range counts {
		g.tally.SetGauge("targets-"+targetState(s).String(), n)
	}
	for service, w := range g.windows {
		g.tally.SetGauge("retry-budget-left-"+service, w.Available(now))
	}
	g.tally.SetGauge("search-limit", g.limiter.Limit())
	g.tally.SetGauge("searches-running", g.limiter.InFlight())
}

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
func (g *Gateway) stateOf(now time.Time, k *catalog.Known) targetState {
	switch {
	case k.Leaving:
		return leaving
	case g.catalog.Out(k.DataCentre):
		return out
	case now.Before(k.ColdUntil):
		return cold
	case g.board.Copy(k.ID).Resting(now):
		return resting
	}
	return usable
}

// Gauge puts what the gateway believes into its counters: the targets in each
// state, the second sends that the retry budgets still allow, and the searches
// that may be under way.
func (g *Gateway) Gauge(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var counts [len(targetStates)]int
	g.catalog.Each(func(k *catalog.Known) { counts[g.stateOf(now, k)]++ })
	for s, n := range counts {
		g.tally.Gauge("targets-"+targetState(s).String(), n)
	}
	for service, w := range g.windows {
		g.tally.Gauge("retry-budget-left-"+service, w.Left(now))
	}
	g.tally.Gauge("search-limit", g.limiter.Limit())
	g.tally.Gauge("searches-running", g.limiter.Running())
}

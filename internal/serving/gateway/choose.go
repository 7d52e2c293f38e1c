package gateway

import (
	"slices"
	"time"

	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

// chooser picks targets for the parts of one request. Its methods are called
// with the gateway locked.
type chooser struct {
	g        *Gateway
	now      time.Time
	services []string
	// usual is the usual latency of a part, and settle when parts are late; zero
	// if they never are.
	usual  time.Duration
	settle time.Time
	// refused counts the extra sends that the budget did not allow.
	refused int
}

// Choose implements search.Chooser.
func (c *chooser) Choose(part int, tried []string, from search.Pool) (search.Choice, bool) {
	candidates := c.candidates(part)
	var first, second []replicas.Candidate
	for _, a := range candidates {
		if slices.Contains(tried, a.ID) {
			second = append(second, a)
		} else {
			first = append(first, a)
		}
	}
	if from != search.Tried {
		if choice, ok := c.pick(first); ok || from == search.Fresh {
			return choice, ok
		}
	}
	return c.pick(second)
}

// candidates returns the targets that may be asked for a part.
func (c *chooser) candidates(part int) []replicas.Candidate {
	g := c.g
	known := g.catalog.Service(c.services[part])
	candidates := make([]replicas.Candidate, 0, len(known))
	warm, bounded := false, g.coldRate(c.services[part]) > 0
	for _, k := range known {
		if !g.catalog.Usable(k) {
			continue
		}
		cold := c.now.Before(k.ColdUntil)
		warm = warm || !cold
		candidates = append(candidates, replicas.Candidate{
			ID: k.ID, Slots: k.Slots, Near: k.DataCentre == g.dataCentre, Full: g.pool.Exhausted(k.ID),
			Fresh: cold, Cold: cold && bounded,
		})
	}
	return c.admit(candidates, warm)
}

func (c *chooser) pick(candidates []replicas.Candidate) (search.Choice, bool) {
	i := c.g.board.Choose(c.now, candidates, c.g.random)
	if i < 0 {
		return search.Choice{}, false
	}
	a := candidates[i]
	if a.Cold {
		c.g.cold.Take(c.now, a.ID)
	}
	late := !c.settle.IsZero() && c.now.Add(c.g.board.Expected(c.now, a, c.usual)).After(c.settle)
	return search.Choice{Target: a.ID, Late: late}, true
}

// admit leaves out cold targets while a warm one can be asked, and those that
// this host has no right to ask now.
func (c *chooser) admit(candidates []replicas.Candidate, warm bool) []replicas.Candidate {
	return slices.DeleteFunc(candidates, func(a replicas.Candidate) bool {
		return a.Cold && (warm || !c.g.mayWarm(c.now, a.ID))
	})
}

// mayWarm reports whether this host may send a request to a cold target now.
func (g *Gateway) mayWarm(now time.Time, id string) bool {
	k := g.catalog.Get(id)
	if k == nil {
		return false
	}
	bears := g.coldRate(k.Service)*g.bounds.ColdFactor + g.bounds.ColdAllowance
	return g.cold.May(now, id, g.fleet.RendezvousRank(id), bears)
}

// coldRate returns the number of requests a second that a cold target of a service
// bears, or 0 if the manifest gives no bound: then a cold target is only slower.
func (g *Gateway) coldRate(service string) float64 {
	m := g.manifest.Load()
	if m == nil || m.Service(service) == nil {
		return 0
	}
	return m.Service(service).MaxColdRate
}

// Extra implements search.Chooser.
func (c *chooser) Extra(part int) bool {
	ok := c.g.window(c.now, c.services[part]).TryWithdraw(c.now)
	if !ok {
		c.refused++
		c.g.tally.Add("extra-refused-budget", 1)
	}
	return ok
}

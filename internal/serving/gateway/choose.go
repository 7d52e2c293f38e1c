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
	// typical is the usual latency of a part, and settle when parts are late; zero
	// if they never are.
	typical      time.Duration
	softDeadline time.Time
	// budgetRefusals counts the extra sends that the budget did not allow.
	budgetRefusals int
}

// Choose implements search.Chooser.
func (c *chooser) Choose(part int, tried []string, from search.CandidateSet) (search.Choice, bool) {
	candidates := c.candidates(part)
	var first, second []replicas.Candidate
	for _, a := range candidates {
		if slices.Contains(tried, a.ID) {
			second = append(second, a)
		} else {
			first = append(first, a)
		}
	}
	if from != search.TriedCandidates {
		if choice, ok := c.pick(first); ok || from == search.UntriedCandidates {
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
	warm, bounded := false, g.maxColdRate(c.services[part]) > 0
	for _, k := range known {
		if !g.catalog.Usable(k) {
			continue
		}
		cold := c.now.Before(k.ColdUntil)
		warm = warm || !cold
		candidates = append(candidates, replicas.Candidate{
			ID: k.ID, Slots: k.Slots, Local: k.DataCentre == g.dataCentre, AtConnectionLimit: g.pool.Exhausted(k.ID),
			Warming: cold, RateLimited: cold && bounded,
		})
	}
	return c.withoutCold(candidates, warm)
}

func (c *chooser) pick(candidates []replicas.Candidate) (search.Choice, bool) {
	i := c.g.tracker.Choose(c.now, candidates, c.g.random)
	if i < 0 {
		return search.Choice{}, false
	}
	a := candidates[i]
	if a.RateLimited {
		c.g.coldStarts.Record(c.now, a.ID)
	}
	late := !c.softDeadline.IsZero() && c.now.Add(c.g.tracker.ExpectedLatency(c.now, a, c.typical)).After(c.softDeadline)
	return search.Choice{Target: a.ID, ExpectedLate: late}, true
}

// withoutCold leaves out cold targets while a warm one can be asked, and those that
// this host has no right to ask now.
func (c *chooser) withoutCold(candidates []replicas.Candidate, warm bool) []replicas.Candidate {
	return slices.DeleteFunc(candidates, func(a replicas.Candidate) bool {
		return a.RateLimited && (warm || !c.g.coldRequestAllowed(c.now, a.ID))
	})
}

// coldRequestAllowed reports whether this host may send a request to a cold target now.
func (g *Gateway) coldRequestAllowed(now time.Time, id string) bool {
	k := g.catalog.Get(id)
	if k == nil {
		return false
	}
	bears := g.maxColdRate(k.Service)*g.bounds.ColdFactor + g.bounds.ColdAllowance
	return g.coldStarts.Allowed(now, id, g.fleet.RendezvousRank(id), bears)
}

// maxColdRate returns the number of requests a second that a cold target of a service
// bears, or 0 if the manifest gives no bound: then a cold target is only slower.
func (g *Gateway) maxColdRate(service string) float64 {
	m := g.manifest.Load()
	if m == nil || m.Service(service) == nil {
		return 0
	}
	return m.Service(service).MaxColdRate
}

// SpendRetryBudget implements search.Chooser.
func (c *chooser) SpendRetryBudget(part int) bool {
	ok := c.g.retryBudget(c.now, c.services[part]).TryWithdraw(c.now)
	if !ok {
		c.budgetRefusals++
		c.g.stats.Add("extra-refused-budget", 1)
	}
	return ok
}

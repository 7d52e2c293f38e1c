package gateway

import (
	"slices"
	"time"

	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

// chooser chooses targets for the parts of one request. Its methods are called with the
// gateway locked.
type chooser struct {
	g        *Gateway
	now      time.Time
	services []string
	// budgetRefusals counts the retries and hedges that the retry budget did not allow.
	budgetRefusals int
}

// Choose implements search.Chooser.
func (c *chooser) Choose(part int, tried []string, from search.CandidateSet) (search.Choice, bool) {
	candidates := c.candidates(part)
	var untriedSet, triedSet []replicas.Candidate
	for _, candidate := range candidates {
		if slices.Contains(tried, candidate.ID) {
			triedSet = append(triedSet, candidate)
		} else {
			untriedSet = append(untriedSet, candidate)
		}
	}
	if from != search.TriedCandidates {
		if choice, ok := c.pick(untriedSet); ok || from == search.UntriedCandidates {
			return choice, ok
		}
	}
	return c.pick(triedSet)
}

// candidates returns the targets that a part can be sent to.
func (c *chooser) candidates(part int) []replicas.Candidate {
	g := c.g
	entries := g.catalog.Service(c.services[part])
	candidates := make([]replicas.Candidate, 0, len(entries))
	anyWarm := false
	for _, e := range entries {
		if !g.catalog.Usable(e) || g.catalog.ClosedFor(c.now, e) > 0 {
			continue
		}
		cold := c.now.Before(e.ColdUntil)
		anyWarm = anyWarm || !cold
		candidates = append(candidates, replicas.Candidate{
			ID: e.ID, Slots: e.Slots, Local: e.DataCentre == g.dataCentre, AtConnectionLimit: g.pool.Exhausted(e.ID),
			Warming: cold, RateLimited: g.rateLimited(c.now, e),
		})
	}
	return c.withoutCold(candidates, anyWarm)
}

// pick chooses one of the candidates. It returns false if all of them are ejected.
func (c *chooser) pick(candidates []replicas.Candidate) (search.Choice, bool) {
	i := c.g.tracker.Choose(c.now, candidates, c.g.random)
	if i < 0 {
		return search.Choice{}, false
	}
	candidate := candidates[i]
	if candidate.RateLimited {
		c.g.coldStarts.Record(c.now, candidate.ID)
	}
	return search.Choice{Target: candidate.ID}, true
}

// withoutCold removes rate-limited cold targets if there is a warm one, and otherwise
// those to which this host is not allowed to send a request now.
func (c *chooser) withoutCold(candidates []replicas.Candidate, anyWarm bool) []replicas.Candidate {
	return slices.DeleteFunc(candidates, func(candidate replicas.Candidate) bool {
		return candidate.RateLimited && (anyWarm || !c.g.coldRequestAllowed(c.now, candidate.ID))
	})
}

// coldRequestAllowed reports whether this host is allowed to send a request to a cold
// target now.
func (g *Gateway) coldRequestAllowed(now time.Time, id string) bool {
	e := g.catalog.Get(id)
	if e == nil {
		return false
	}
	ratePerSecond := g.maxColdRate(e.Service)*g.bounds.ColdFactor + g.bounds.ColdAllowance
	return g.coldStarts.Allowed(now, id, g.fleet.RendezvousRank(id), ratePerSecond)
}

// rateLimited reports whether a target is cold and its service limits the requests to cold
// targets.
func (g *Gateway) rateLimited(now time.Time, e *catalog.Entry) bool {
	return now.Before(e.ColdUntil) && g.maxColdRate(e.Service) > 0
}

// maxColdRate returns the number of requests a second that a cold target of a service can
// handle, or 0 if the manifest sets no limit: then a cold target is only slower.
func (g *Gateway) maxColdRate(service string) float64 {
	m := g.manifest.Load()
	if m == nil || m.Service(service) == nil {
		return 0
	}
	return m.Service(service).MaxColdRate
}

// SpendRetryBudget implements search.Chooser.
func (c *chooser) SpendRetryBudget(part int) bool {
	ok := c.g.retryBudgets.service(c.services[part]).spend(c.now)
	if !ok {
		c.budgetRefusals++
		c.g.stats.Add("extra-refused-budget", 1)
	}
	return ok
}

package copies

import (
	"math/rand/v2"
	"time"
)

// Weights of the choice.
const (
	// overdueLatencies is how many usual latencies an answer may take before the
	// copy is avoided.
	overdueLatencies = 3
	// minOverdueTime is the least time after which an answer is overdue.
	minOverdueTime = 8 * time.Millisecond
	// overdueCost stands for the wait at a copy whose answer is overdue, in
	// usual latencies.
	overdueCost = 8
	// rateLimitedCost keeps a resting copy behind all others, in usual latencies.
	rateLimitedCost = 1000
	// failureCost is what a copy that fails all requests costs, in usual
	// latencies.
	failureCost = 16
	// remoteCost is what a copy in another data centre costs, in usual latencies.
	remoteCost = 3
	// warmingCost is what a copy costs that has just started, in usual latencies.
	warmingCost = 2
	// forgetAfter is how long a copy that is not used is remembered.
	forgetAfter = time.Minute
)

// Candidate is a copy that may be asked.
type Candidate struct {
	ID string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Local says that it stands in the data centre of this host.
	Local bool
	// AtConnectionLimit says that all connections of this host to it are taken.
	AtConnectionLimit bool
	// Warming says that it has just started and is slower than usual, Cold that it
	// also bears little.
	Warming     bool
	RateLimited bool
}

// Board holds the memory of all copies. The zero value is ready. It is not safe
// for use by several goroutines.
type Board struct {
	replicas  map[string]*Copy
	lastToken uint64
}

// Copy returns the memory of a copy.
func (b *Board) Copy(id string) *Copy {
	c := b.replicas[id]
	if c == nil {
		if b.replicas == nil {
			b.replicas = map[string]*Copy{}
		}
		c = &Copy{}
		b.replicas[id] = c
	}
	return c
}

// Forget drops the memory of a copy.
func (b *Board) Forget(id string) { delete(b.replicas, id) }

// ExpectedLatency returns how long an answer of a candidate is likely to take, if one
// usually takes the given time.
func (b *Board) ExpectedLatency(now time.Time, a Candidate, usual time.Duration) time.Duration {
	c := b.Copy(a.ID)
	return time.Duration(float64(usual) * c.Slowdown(now) * (1 + float64(len(c.inFlight))/float64(max(1, a.Slots))))
}

// Choose returns the index of the candidate to ask, or -1 if each of them is
// better left alone.
func (b *Board) Choose(now time.Time, candidates []Candidate, random *rand.Rand) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		memory := b.Copy(c.ID)
		if memory.Ejected(now) {
			continue
		}
		cost := memory.cost(now, c) + random.Float64()*0.05
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// cost returns the wait to expect at a copy, in usual latencies.
func (c *Copy) cost(now time.Time, a Candidate) float64 {
	cost := c.Slowdown(now) * (1 + float64(len(c.inFlight))/float64(max(1, a.Slots)))
	cost += failureCost * c.FailureRate(now)
	if c.Overdue(now) {
		cost += overdueCost
	}
	if a.AtConnectionLimit {
		cost += overdueCost
	}
	if a.Warming {
		cost += warmingCost
	}
	if a.RateLimited {
		cost += rateLimitedCost
	}
	if !a.Local {
		cost += remoteCost
	}
	return cost
}

// MinEjectionLeft returns the shortest rest left among the candidates.
func (b *Board) MinEjectionLeft(now time.Time, candidates []Candidate) time.Duration {
	least := maxEjection
	for _, c := range candidates {
		least = min(least, b.Copy(c.ID).EjectionLeft(now))
	}
	return least
}

// Begin notes that a request goes to a copy and returns a token for End.
func (b *Board) Begin(now time.Time, id string, usual time.Duration) uint64 {
	b.lastToken++
	b.Copy(id).begin(now, b.lastToken, max(minOverdueTime, overdueLatencies*usual))
	return b.lastToken
}

// End takes how a request ended and returns how long it took.
func (b *Board) End(now time.Time, id string, token uint64, result Result, usual time.Duration) time.Duration {
	return b.Copy(id).end(now, token, result, usual)
}

// EndWithLatency is End for a request whose answer is known to have taken a time at the
// copy, and was on its way for longer.
func (b *Board) EndWithLatency(now time.Time, id string, token uint64, result Result, usual, took time.Duration) {
	c := b.Copy(id)
	c.removeInFlight(now, token)
	c.recordResult(now, result, usual, took)
}

// Expire forgets copies that have not been used for long.
func (b *Board) Expire(now time.Time) {
	for id, c := range b.replicas {
		if len(c.inFlight) == 0 && now.Sub(c.lastUsed) > forgetAfter {
			delete(b.replicas, id)
		}
	}
}

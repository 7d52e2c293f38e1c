package replicas

import (
	"math/rand/v2"
	"time"
)

// Weights of the choice.
const (
	// overduePaces is how many usual latencies an answer may take before the
	// copy is avoided.
	overduePaces = 3
	// overdueLeast is the least time after which an answer is overdue.
	overdueLeast = 8 * time.Millisecond
	// overdueCost stands for the wait at a copy whose answer is overdue, in
	// usual latencies.
	overdueCost = 8
	// restCost keeps a resting copy behind all others, in usual latencies.
	restCost = 1000
	// failureCost is what a copy that fails all requests costs, in usual
	// latencies.
	failureCost = 16
	// farCost is what a copy in another data centre costs, in usual latencies.
	farCost = 3
	// freshCost is what a copy costs that has just started, in usual latencies.
	freshCost = 2
	// forgetAfter is how long a copy that is not used is remembered.
	forgetAfter = time.Minute
)

// Candidate is a copy that may be asked.
type Candidate struct {
	ID string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Near says that it stands in the data centre of this host.
	Near bool
	// Full says that all connections of this host to it are taken.
	Full bool
	// Fresh says that it has just started and is slower than usual, Cold that it
	// also bears little.
	Fresh bool
	Cold  bool
}

// Tracker holds the memory of all copies. The zero value is ready. It is not safe
// for use by several goroutines.
type Tracker struct {
	copies map[string]*Replica
	tokens uint64
}

// Replica returns the memory of a copy.
func (b *Tracker) Replica(id string) *Replica {
	c := b.copies[id]
	if c == nil {
		if b.copies == nil {
			b.copies = map[string]*Replica{}
		}
		c = &Replica{}
		b.copies[id] = c
	}
	return c
}

// Forget drops the memory of a copy.
func (b *Tracker) Forget(id string) { delete(b.copies, id) }

// Expected returns how long an answer of a candidate is likely to take, if one
// usually takes the given time.
func (b *Tracker) Expected(now time.Time, a Candidate, usual time.Duration) time.Duration {
	c := b.Replica(a.ID)
	return time.Duration(float64(usual) * c.Pace(now) * (1 + float64(len(c.underWay))/float64(max(1, a.Slots))))
}

// Choose returns the index of the candidate to ask, or -1 if each of them is
// better left alone.
func (b *Tracker) Choose(now time.Time, candidates []Candidate, random *rand.Rand) int {
	best, least := -1, 0.0
	for i, c := range candidates {
		memory := b.Replica(c.ID)
		if memory.Resting(now) {
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
func (c *Replica) cost(now time.Time, a Candidate) float64 {
	cost := c.Pace(now) * (1 + float64(len(c.underWay))/float64(max(1, a.Slots)))
	cost += failureCost * c.Failures(now)
	if c.Overdue(now) {
		cost += overdueCost
	}
	if a.Full {
		cost += overdueCost
	}
	if a.Fresh {
		cost += freshCost
	}
	if a.Cold {
		cost += restCost
	}
	if !a.Near {
		cost += farCost
	}
	return cost
}

// Wait returns the shortest rest left among the candidates.
func (b *Tracker) Wait(now time.Time, candidates []Candidate) time.Duration {
	least := restMost
	for _, c := range candidates {
		least = min(least, b.Replica(c.ID).RestLeft(now))
	}
	return least
}

// Begin notes that a request goes to a copy and returns a token for End.
func (b *Tracker) Begin(now time.Time, id string, usual time.Duration) uint64 {
	b.tokens++
	b.Replica(id).begin(now, b.tokens, max(overdueLeast, overduePaces*usual))
	return b.tokens
}

// End takes how a request ended and returns how long it took.
func (b *Tracker) End(now time.Time, id string, token uint64, result Result, usual time.Duration) time.Duration {
	return b.Replica(id).end(now, token, result, usual)
}

// EndAfter is End for a request whose answer is known to have taken a time at the
// copy, and was on its way for longer.
func (b *Tracker) EndAfter(now time.Time, id string, token uint64, result Result, usual, took time.Duration) {
	c := b.Replica(id)
	c.drop(now, token)
	c.judge(now, result, usual, took)
}

// Expire forgets copies that have not been used for long.
func (b *Tracker) Expire(now time.Time) {
	for id, c := range b.copies {
		if len(c.underWay) == 0 && now.Sub(c.used) > forgetAfter {
			delete(b.copies, id)
		}
	}
}

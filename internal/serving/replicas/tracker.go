package replicas

import (
	"math/rand/v2"
	"time"
)

// Parameters of the choice of a replica. Costs are in typical latencies.
const (
	// overdueLatencies is the number of typical latencies after which an answer is
	// overdue and the replica is avoided.
	overdueLatencies = 3
	// minOverdueTime is the minimum time after which an answer is overdue.
	minOverdueTime = 8 * time.Millisecond
	// overdueCost is the assumed wait at a replica that has an overdue answer or no
	// free connection.
	overdueCost = 8
	// rateLimitedCost places a rate-limited replica behind all others.
	rateLimitedCost = 1000
	// failureCost is the cost of a replica that fails all requests.
	failureCost = 16
	// remoteCost is the cost of a replica in another data centre.
	remoteCost = 3
	// warmingCost is the cost of a replica that is still warming up.
	warmingCost = 2
	// forgetAfter is the time after which the state of an unused replica is dropped.
	forgetAfter = time.Minute
)

// Candidate is a replica that a request can be sent to.
type Candidate struct {
	ID string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Local reports that the target is in the data centre of this host.
	Local bool
	// AtConnectionLimit reports that all connections of this host to the target are
	// in use.
	AtConnectionLimit bool
	// Warming reports that the target is cold: it started recently and answers slowly.
	Warming bool
	// RateLimited reports that the target is cold and that its service limits the rate of
	// requests to cold targets.
	RateLimited bool
}

// Tracker holds the observed state of all replicas. The zero value is ready to use.
// It is not safe for concurrent use.
type Tracker struct {
	replicas  map[string]*Replica
	lastToken uint64
}

// Replica returns the state of a replica, which it creates if there is none.
func (t *Tracker) Replica(id string) *Replica {
	r := t.replicas[id]
	if r == nil {
		if t.replicas == nil {
			t.replicas = map[string]*Replica{}
		}
		r = &Replica{}
		t.replicas[id] = r
	}
	return r
}

// CloseUntil ejects a replica until a time, as it has asked for.
func (t *Tracker) CloseUntil(id string, until time.Time) { t.Replica(id).closeUntil(until) }

// Forget drops the state of a replica.
func (t *Tracker) Forget(id string) { delete(t.replicas, id) }

// Choose returns the index of the candidate with the lowest cost, or -1 if all
// candidates are ejected. Candidates of nearly the same cost are chosen at random.
func (t *Tracker) Choose(now time.Time, candidates []Candidate, random *rand.Rand) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		replica := t.Replica(c.ID)
		if replica.Ejected(now) {
			continue
		}
		cost := replica.cost(now, c) + random.Float64()*0.05
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// cost returns the expected wait at a replica, in typical latencies.
func (r *Replica) cost(now time.Time, c Candidate) float64 {
	cost := r.Slowdown(now) * (1 + float64(len(r.inFlight))/float64(max(1, c.Slots)))
	cost += failureCost * r.FailureRate(now)
	if r.Overdue(now) {
		cost += overdueCost
	}
	if c.AtConnectionLimit {
		cost += overdueCost
	}
	if c.Warming {
		cost += warmingCost
	}
	if c.RateLimited {
		cost += rateLimitedCost
	}
	if !c.Local {
		cost += remoteCost
	}
	return cost
}

// Begin records that a request is sent to a replica and returns a token for End; typical
// is the typical latency of such requests.
func (t *Tracker) Begin(now time.Time, id string, typical time.Duration) uint64 {
	t.lastToken++
	t.Replica(id).begin(now, t.lastToken, max(minOverdueTime, overdueLatencies*typical))
	return t.lastToken
}

// End records the result of a request and returns its latency.
func (t *Tracker) End(now time.Time, id string, token uint64, result Result, typical time.Duration) time.Duration {
	return t.Replica(id).end(now, token, result, typical)
}

// EndWithLatency is like End for a request that another host relayed: latency is the
// time that the replica took, without the time on the way to this host.
func (t *Tracker) EndWithLatency(now time.Time, id string, token uint64, result Result, typical, latency time.Duration) {
	r := t.Replica(id)
	r.removeInFlight(now, token)
	r.recordResult(now, result, typical, latency)
}

// Expire drops the state of replicas that have not been used for forgetAfter.
func (t *Tracker) Expire(now time.Time) {
	for id, r := range t.replicas {
		if len(r.inFlight) == 0 && now.Sub(r.lastUsed) > forgetAfter {
			delete(t.replicas, id)
		}
	}
}

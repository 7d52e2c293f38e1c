package copies

import "time"

const (
	// minColdInterval is the time between two requests of one host to a cold target: over
	// a second, so that none gets two of them within one.
	minColdInterval = 1100 * time.Millisecond
	// coldCapacityShare is the part of what a cold target bears that the hosts use, so that
	// they stay within it while they see different fleets.
	coldCapacityShare = 0.5
	// coldRetention is how long a request to a cold target is remembered.
	coldRetention = time.Minute
)

// ColdRights decides whether this host may send a request to a cold target. Each
// second as many hosts as the target bears requests may send it one: those that
// come first for it among the live hosts, by rendezvous hashing, which needs no
// agreement. The zero value is ready. It is not safe for use by several goroutines.
type ColdRights struct {
	lastSent map[string]time.Time
}

// Allowed reports whether a request may be sent to a target now. rank is the number of
// live hosts that come before this one for the target, and bears the number of
// requests that it bears in a second from all hosts.
func (r *ColdRights) Allowed(now time.Time, id string, rank int, bears float64) bool {
	last, asked := r.lastSent[id]
	return rank < int(coldCapacityShare*bears) && (!asked || now.Sub(last) >= minColdInterval)
}

// Record notes that a request is sent to a cold target.
func (r *ColdRights) Record(now time.Time, id string) {
	if r.lastSent == nil {
		r.lastSent = map[string]time.Time{}
	}
	r.lastSent[id] = now
}

// Expire forgets what is long past.
func (r *ColdRights) Expire(now time.Time) {
	for id, at := range r.lastSent {
		if now.Sub(at) > coldRetention {
			delete(r.lastSent, id)
		}
	}
}

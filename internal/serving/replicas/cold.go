package replicas

import "time"

const (
	// coldPause is the time between two requests of one host to a cold target: over
	// a second, so that none gets two of them within one.
	coldPause = 1100 * time.Millisecond
	// coldShare is the part of what a cold target bears that the hosts use, so that
	// they stay within it while they see different fleets.
	coldShare = 0.5
	// coldForget is how long a request to a cold target is remembered.
	coldForget = time.Minute
)

// ColdStartLimiter decides whether this host may send a request to a cold target. Each
// second as many hosts as the target bears requests may send it one: those that
// come first for it among the live hosts, by rendezvous hashing, which needs no
// agreement. The zero value is ready. It is not safe for use by several goroutines.
type ColdStartLimiter struct {
	last map[string]time.Time
}

// May reports whether a request may be sent to a target now. rank is the number of
// live hosts that come before this one for the target, and bears the number of
// requests that it bears in a second from all hosts.
func (r *ColdStartLimiter) May(now time.Time, id string, rank int, bears float64) bool {
	last, asked := r.last[id]
	return rank < int(coldShare*bears) && (!asked || now.Sub(last) >= coldPause)
}

// Take notes that a request is sent to a cold target.
func (r *ColdStartLimiter) Take(now time.Time, id string) {
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[id] = now
}

// Expire forgets what is long past.
func (r *ColdStartLimiter) Expire(now time.Time) {
	for id, at := range r.last {
		if now.Sub(at) > coldForget {
			delete(r.last, id)
		}
	}
}

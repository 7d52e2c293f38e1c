package replicas

import "time"

const (
	// minColdInterval is the time between two requests of one host to a cold target. It
	// is longer than a second, so that a host never sends two within any second.
	minColdInterval = 1100 * time.Millisecond
	// coldPermissionTTL is how long after the decision a request to a cold target can be
	// written. What is left of minColdInterval after it is a second.
	coldPermissionTTL = minColdInterval - time.Second
	// coldCapacityShare is the share of the rate limit of a cold target that the hosts
	// use, so that they stay within the limit while they disagree on which hosts are
	// live.
	coldCapacityShare = 0.5
	// coldRetention is how long the time of a request to a cold target is kept.
	coldRetention = time.Minute
)

// ColdStartLimiter limits the requests of this host to cold targets. If a cold target can
// handle n requests a second, the coldCapacityShare*n live hosts that rank first for it
// by rendezvous hashing are each allowed one request per minColdInterval. This needs no
// coordination between hosts. The zero value is ready to use. It is not safe for
// concurrent use.
type ColdStartLimiter struct {
	lastSent map[string]time.Time
}

// Allowed reports whether this host is allowed to send a request to a target now. rank
// is the number of live hosts that rank before this one for the target, and ratePerSecond
// the number of requests a second that the target can handle from all hosts.
func (l *ColdStartLimiter) Allowed(now time.Time, id string, rank int, ratePerSecond float64) bool {
	lastSent, sent := l.lastSent[id]
	return rank < int(coldCapacityShare*ratePerSecond) && (!sent || now.Sub(lastSent) >= minColdInterval)
}

// PermissionValid reports whether a request to a cold target that was allowed at a time can
// still be written. A host that was paused meanwhile may have allowed another one.
func (l *ColdStartLimiter) PermissionValid(now, allowedAt time.Time) bool {
	return now.Sub(allowedAt) <= coldPermissionTTL
}

// Record records that a request is sent to a cold target.
func (l *ColdStartLimiter) Record(now time.Time, id string) {
	if l.lastSent == nil {
		l.lastSent = map[string]time.Time{}
	}
	l.lastSent[id] = now
}

// Expire drops the times of requests that are older than coldRetention.
func (l *ColdStartLimiter) Expire(now time.Time) {
	for id, at := range l.lastSent {
		if now.Sub(at) > coldRetention {
			delete(l.lastSent, id)
		}
	}
}

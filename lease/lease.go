package lease

import "time"

// Parts of the lease time.
const (
	// marginDivisor is the part of the lease time given up for clock rates.
	marginDivisor = 10
	// renewalDivisor is the part of the lease time after which it is renewed.
	renewalDivisor = 3
)

// Lease is what the holder knows of its lease. The zero value is not held.
type Lease struct {
	id            string
	duration      time.Duration
	validFrom     time.Time
	renewalSentAt time.Time
}

// Granted notes that the lease with the id was granted for the given time by a
// request that was sent at sent.
func (l *Lease) Granted(id string, sent time.Time, d time.Duration) {
	*l = Lease{id: id, duration: d, validFrom: sent, renewalSentAt: sent}
}

// Asked notes that a renewal is sent at now. A renewal whose answer is lost
// proves nothing.
func (l *Lease) Asked(now time.Time) { l.renewalSentAt = now }

// Renewed notes that the renewal sent at sent was granted.
func (l *Lease) Renewed(sent time.Time) {
	if l.id != "" && sent.After(l.validFrom) {
		l.validFrom = sent
	}
}

// Lost notes that the service no longer knows the lease.
func (l *Lease) Lost() { *l = Lease{} }

// ID returns the name of the lease, or "" when none is held.
func (l *Lease) ID() string { return l.id }

// Proven reports whether the holder can prove at now that it holds the lease.
func (l *Lease) Proven(now time.Time) bool {
	return l.id != "" && now.Before(l.ProvenUntil())
}

// ProvenUntil returns the time until which the lease is surely held. It is the
// zero time when none is held.
func (l *Lease) ProvenUntil() time.Time {
	if l.id == "" {
		return time.Time{}
	}
	return l.validFrom.Add(l.duration - l.duration/marginDivisor)
}

// RenewAt returns when the next renewal is due.
func (l *Lease) RenewAt() time.Time { return l.renewalSentAt.Add(l.duration / renewalDivisor) }

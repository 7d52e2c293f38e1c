package lease

import "time"

// Divisors of the lease duration.
const (
	// marginDivisor gives the part of the duration that is subtracted for differences
	// between clock rates.
	marginDivisor = 10
	// renewalDivisor gives the part of the duration after which the lease is renewed.
	renewalDivisor = 3
)

// Lease is the state of a lease at its holder. The zero value is not held.
type Lease struct {
	id            string
	duration      time.Duration
	validFrom     time.Time
	renewalSentAt time.Time
}

// Granted records that the lease with the id was granted for the duration d, by a
// request sent at the given time.
func (l *Lease) Granted(id string, sent time.Time, d time.Duration) {
	*l = Lease{id: id, duration: d, validFrom: sent, renewalSentAt: sent}
}

// RenewalSent records that a renewal is sent at now. A renewal whose reply is lost does
// not extend the lease.
func (l *Lease) RenewalSent(now time.Time) { l.renewalSentAt = now }

// Renewed records that the renewal sent at the given time was granted.
func (l *Lease) Renewed(sent time.Time) {
	if l.id != "" && sent.After(l.validFrom) {
		l.validFrom = sent
	}
}

// Clear removes the lease, which the service no longer knows.
func (l *Lease) Clear() { *l = Lease{} }

// ID returns the ID of the lease, or "" when none is held.
func (l *Lease) ID() string { return l.id }

// Valid reports whether the lease is certainly valid at now.
func (l *Lease) Valid(now time.Time) bool {
	return l.id != "" && now.Before(l.ValidUntil())
}

// ValidUntil returns the time until which the lease is certainly valid, or the zero
// time when none is held.
func (l *Lease) ValidUntil() time.Time {
	if l.id == "" {
		return time.Time{}
	}
	return l.validFrom.Add(l.duration - l.duration/marginDivisor)
}

// RenewAt returns when the next renewal is due.
func (l *Lease) RenewAt() time.Time { return l.renewalSentAt.Add(l.duration / renewalDivisor) }

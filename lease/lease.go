package lease

import "time"

// Parts of the lease time.
const (
	// marginShare is the part of the lease time given up for clock rates.
	marginShare = 10
	// renewalShare is the part of the lease time after which it is renewed.
	renewalShare = 3
)

// Lease is what the holder knows of its lease. The zero value is not held.
type Lease struct {
	id    string
	time  time.Duration
	start time.Time
	asked time.Time
}

// Granted notes that the lease with the id was granted for the given time by a
// request that was sent at sent.
func (l *Lease) Granted(id string, sent time.Time, d time.Duration) {
	*l = Lease{id: id, time: d, start: sent, asked: sent}
}

// RenewalSent notes that a renewal is sent at now. A renewal whose answer is lost
// proves nothing.
func (l *Lease) RenewalSent(now time.Time) { l.asked = now }

// Renewed notes that the renewal sent at sent was granted.
func (l *Lease) Renewed(sent time.Time) {
	if l.id != "" && sent.After(l.start) {
		l.start = sent
	}
}

// Clear notes that the service no longer knows the lease.
func (l *Lease) Clear() { *l = Lease{} }

// ID returns the name of the lease, or "" when none is held.
func (l *Lease) ID() string { return l.id }

// Valid reports whether the holder can prove at now that it holds the lease.
func (l *Lease) Valid(now time.Time) bool {
	return l.id != "" && now.Before(l.ValidUntil())
}

// ValidUntil returns the time until which the lease is surely held. It is the
// zero time when none is held.
func (l *Lease) ValidUntil() time.Time {
	if l.id == "" {
		return time.Time{}
	}
	return l.start.Add(l.time - l.time/marginShare)
}

// RenewAt returns when the next renewal is due.
func (l *Lease) RenewAt() time.Time { return l.asked.Add(l.time / renewalShare) }

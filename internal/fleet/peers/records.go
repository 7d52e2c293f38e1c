package peers

import "time"

const (
	// ActiveRecordTTL is how long the record of an active host, one that serves callers,
	// is kept after its last renewal. It is short because an isolated data centre sends
	// callers to the hosts with such records, so a record must not outlive its host for
	// long.
	ActiveRecordTTL = 6 * time.Second
	// StandbyRecordTTL is the same for hosts on standby.
	StandbyRecordTTL = time.Minute
	// activeRenewInterval and standbyRenewInterval are the times between two renewals of
	// these records.
	activeRenewInterval  = 2 * time.Second
	standbyRenewInterval = 18 * time.Second
	// activeRecordDelay is how long a host must be active before its record says so. A
	// host that has just started does not know the other active hosts yet and may select
	// itself by mistake.
	activeRecordDelay = 2 * time.Second
	// renewRetryDelay is the time from a failed renewal to the next attempt.
	renewRetryDelay = 1500 * time.Millisecond
	// rewriteSpacing is the mean time between the renewals of two hosts after the store has lost
	// the records of all. Each takes two writes, of which the store accepts a few hundred a
	// second.
	rewriteSpacing = 10 * time.Millisecond
	// isolatedReadInterval is the time between two reads of the records while the data
	// centre is isolated or until the first read succeeds. readInterval is the time
	// otherwise: hosts that could not reach each other for long have removed each other
	// and are discovered again through the records.
	isolatedReadInterval = time.Second
	readInterval         = time.Minute
)

// RecordSchedule decides when a host renews its record in the store and when it reads
// those of the other hosts. The zero value is ready to use.
type RecordSchedule struct {
	active                bool
	activeSince           time.Time
	lastRenewal, lastRead time.Time
	everRead              bool
}

// Active reports whether the record should say that the host is active. selected says
// whether the host is selected to serve callers now.
func (r *RecordSchedule) Active(now time.Time, selected bool) bool {
	switch {
	case !selected:
		r.activeSince = time.Time{}
	case r.activeSince.IsZero():
		r.activeSince = now
	}
	return selected && now.Sub(r.activeSince) >= activeRecordDelay
}

// RenewDue reports whether the record should be renewed now, and if so, starts the next
// interval. active is what the record should say; if it has changed since the last
// renewal, a renewal is due at once.
func (r *RecordSchedule) RenewDue(now time.Time, active bool) bool {
	if !r.lastRenewal.IsZero() && active == r.active && now.Sub(r.lastRenewal) < r.renewInterval() {
		return false
	}
	r.lastRenewal, r.active = now, active
	return true
}

// RenewFailed records that the record could not be renewed, so that the next renewal is due
// after renewRetryDelay.
func (r *RecordSchedule) RenewFailed(now time.Time) {
	r.lastRenewal = now.Add(renewRetryDelay - r.renewInterval())
}

// RecordLost records that the store may have lost the records of all hosts. That of this one is
// due, if it is not earlier, after a random part, from 0 to 1, of the time in which a fleet of
// the given size writes its records.
func (r *RecordSchedule) RecordLost(now time.Time, size int, random float64) {
	delay := time.Duration(random * float64(size) * float64(rewriteSpacing))
	if at := now.Add(delay - r.renewInterval()); at.Before(r.lastRenewal) {
		r.lastRenewal = at
	}
}

func (r *RecordSchedule) renewInterval() time.Duration {
	if r.active {
		return activeRenewInterval
	}
	return standbyRenewInterval
}

// ReadDue reports whether the records should be read now, and if so, starts the next
// interval. isolated is set if the data centre is isolated.
func (r *RecordSchedule) ReadDue(now time.Time, isolated bool) bool {
	interval := readInterval
	if isolated || !r.everRead {
		interval = isolatedReadInterval
	}
	if !r.lastRead.IsZero() && now.Sub(r.lastRead) < interval {
		return false
	}
	r.lastRead = now
	return true
}

// ReadSucceeded records that the records have been read, alone or in a full list of the
// store.
func (r *RecordSchedule) ReadSucceeded(now time.Time) { r.everRead, r.lastRead = true, now }

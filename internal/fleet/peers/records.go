package peers

import "time"

const (
	// ActiveRecordTTL is how long the record of a host that carries callers outlives its
	// last renewal. It is relied on when a data centre is cut off, so that it must not
	// outlive its host for long.
	ActiveRecordTTL = 6 * time.Second
	// StandbyRecordTTL is the same for other hosts.
	StandbyRecordTTL = time.Minute
	// activeRenewInterval and renewStandby are how often they look after their records.
	activeRenewInterval  = 2 * time.Second
	standbyRenewInterval = 18 * time.Second
	// activeRecordDelay is for how long a host carries callers before its record says so: one
	// that has just started does not yet know those that do.
	activeRecordDelay = 2 * time.Second
	// renewRetryDelay is when a renewal that failed is tried again.
	renewRetryDelay = 1500 * time.Millisecond
	// isolatedReadInterval is how often the records are read while the data centre is cut off or
	// before they were read for the first time, and readCalm how often otherwise:
	// hosts that lost each other for long have forgotten each other.
	isolatedReadInterval = time.Second
	readInterval         = time.Minute
)

// RecordSchedule decides when a host renews its record in the store and reads those of the
// other hosts. The zero value is ready.
type RecordSchedule struct {
	active                bool
	activeSince           time.Time
	lastRenewal, lastRead time.Time
	everRead              bool
}

// Active reports whether the record is to say that the host carries callers. chosen
// says that it does now.
func (r *RecordSchedule) Active(now time.Time, chosen bool) bool {
	switch {
	case !chosen:
		r.activeSince = time.Time{}
	case r.activeSince.IsZero():
		r.activeSince = now
	}
	return chosen && now.Sub(r.activeSince) >= activeRecordDelay
}

// RenewDue reports whether the record is to be renewed now. carrier is what it is to say.
func (r *RecordSchedule) RenewDue(now time.Time, carrier bool) bool {
	period := standbyRenewInterval
	if carrier {
		period = activeRenewInterval
	}
	if !r.lastRenewal.IsZero() && carrier == r.active && now.Sub(r.lastRenewal) < period {
		return false
	}
	r.lastRenewal, r.active = now, carrier
	return true
}

// RenewFailed takes that the record could not be renewed, so that it is tried again soon.
func (r *RecordSchedule) RenewFailed(now time.Time) {
	period := standbyRenewInterval
	if r.active {
		period = activeRenewInterval
	}
	r.lastRenewal = now.Add(renewRetryDelay - period)
}

// ReadDue reports whether the records are to be read now. cut says that the data centre
// is cut off.
func (r *RecordSchedule) ReadDue(now time.Time, cut bool) bool {
	period := readInterval
	if cut || !r.everRead {
		period = isolatedReadInterval
	}
	if !r.lastRead.IsZero() && now.Sub(r.lastRead) < period {
		return false
	}
	r.lastRead = now
	return true
}

// ReadSucceeded takes that the records have been read.
func (r *RecordSchedule) ReadSucceeded() { r.everRead = true }

package peers

import "time"

const (
	// ActiveRecordTTL is how long the record of a host that carries callers outlives its
	// last renewal. It is relied on when a data centre is cut off, so that it must not
	// outlive its host for long.
	ActiveRecordTTL = 6 * time.Second
	// StandbyRecordTTL is the same for other hosts.
	StandbyRecordTTL = time.Minute
	// renewCarrier and renewStandby are how often they look after their records.
	renewCarrier = 2 * time.Second
	renewStandby = 18 * time.Second
	// settleTime is for how long a host carries callers before its record says so: one
	// that has just started does not yet know those that do.
	settleTime = 2 * time.Second
	// retryRenew is when a renewal that failed is tried again.
	retryRenew = 1500 * time.Millisecond
	// readCut is how often the records are read while the data centre is cut off or
	// before they were read for the first time, and readCalm how often otherwise:
	// hosts that lost each other for long have forgotten each other.
	readCut  = time.Second
	readCalm = time.Minute
)

// RecordSchedule decides when a host renews its record in the store and reads those of the
// other hosts. The zero value is ready.
type RecordSchedule struct {
	carrier       bool
	chosen        time.Time
	renewed, read time.Time
	known         bool
}

// Active reports whether the record is to say that the host carries callers. chosen
// says that it does now.
func (r *RecordSchedule) Active(now time.Time, chosen bool) bool {
	switch {
	case !chosen:
		r.chosen = time.Time{}
	case r.chosen.IsZero():
		r.chosen = now
	}
	return chosen && now.Sub(r.chosen) >= settleTime
}

// RenewDue reports whether the record is to be renewed now. carrier is what it is to say.
func (r *RecordSchedule) RenewDue(now time.Time, carrier bool) bool {
	period := renewStandby
	if carrier {
		period = renewCarrier
	}
	if !r.renewed.IsZero() && carrier == r.carrier && now.Sub(r.renewed) < period {
		return false
	}
	r.renewed, r.carrier = now, carrier
	return true
}

// RenewFailed takes that the record could not be renewed, so that it is tried again soon.
func (r *RecordSchedule) RenewFailed(now time.Time) {
	period := renewStandby
	if r.carrier {
		period = renewCarrier
	}
	r.renewed = now.Add(retryRenew - period)
}

// ReadDue reports whether the records are to be read now. cut says that the data centre
// is cut off.
func (r *RecordSchedule) ReadDue(now time.Time, cut bool) bool {
	period := readCalm
	if cut || !r.known {
		period = readCut
	}
	if !r.read.IsZero() && now.Sub(r.read) < period {
		return false
	}
	r.read = now
	return true
}

// ReadSucceeded takes that the records have been read.
func (r *RecordSchedule) ReadSucceeded() { r.known = true }

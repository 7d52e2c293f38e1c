package query

// Reasons for which a part was not answered, in the words that callers see in
// the coverage and operators in the counters.
const (
	ReasonSnapshotGone     = "snapshot-gone"
	ReasonShed             = "shed"
	ReasonQueueFull        = "queue-full"
	ReasonTooLate          = "too-late"
	ReasonCold             = "cold"
	ReasonLeaving          = "leaving"
	ReasonUnowned          = "unowned"
	ReasonOwnerLost        = "owner-lost"
	ReasonTargetLost       = "target-lost"
	ReasonSilentConnection = "silent-connection"
	ReasonDeadline         = "deadline"
	ReasonNoHolder         = "no-holder"
	ReasonUnmapped         = "uncharted"
)

// transient reports whether the same targets may answer a little later.
func transient(reason string) bool {
	switch reason {
	case ReasonShed, ReasonQueueFull, ReasonCold, ReasonUnowned, ReasonOwnerLost:
		return true
	default:
		return false
	}
}

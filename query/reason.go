package query

// Reasons why a part was not answered, as they appear in the coverage of an answer and
// in the counters.
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

// transient reports whether the same targets may answer a later retry.
func transient(reason string) bool {
	switch reason {
	case ReasonShed, ReasonQueueFull, ReasonCold, ReasonUnowned, ReasonOwnerLost:
		return true
	default:
		return false
	}
}

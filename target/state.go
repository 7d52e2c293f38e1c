package target

// State is how far a target is from full work.
type State int

// States of a target. The zero State is Cold, since what is not known counts
// as cold.
const (
	Cold State = iota
	Warming
	Warm
	Leaving
	Unreachable
)

var stateNames = [...]string{"cold", "warming", "warm", "leaving", "lost"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the name. A name that is not known is
// Cold.
func ParseState(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return Cold
}

// ColdCause is why a target was taken for cold.
type ColdCause string

// Reasons to take a target for cold.
const (
	ColdCauseNone        ColdCause = ""
	ColdCauseReported    ColdCause = "reported-cold"
	ColdCauseIncarnation ColdCause = "new-incarnation"
	ColdCauseShed        ColdCause = "shed"
	ColdCauseReset       ColdCause = "connection-reset"
	ColdCauseLatency     ColdCause = "latency-jump"
	ColdCauseReturned    ColdCause = "returned"
	ColdCauseHandedOver  ColdCause = "handed-over"
)

package target

// State is the state of a target.
type State int

// States of a target. Of Cold, Warming and Warm, the lower one is the colder. The zero
// State is Cold, so that an unknown target counts as cold. A Leaving target is being
// drained; an Unreachable one does not accept connections.
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

// ParseState returns the state with the name. An unknown name is Cold.
func ParseState(name string) State {
	for i, n := range stateNames {
		if n == name {
			return State(i)
		}
	}
	return Cold
}

// ColdCause is why a target was turned cold.
type ColdCause string

// Causes for which a target is turned cold.
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

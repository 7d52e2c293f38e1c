package target

// State is the state of a target.
type State int

// States of a target. The zero State is Cold, so that an unknown target counts
// as cold.
const (
	Cold State = iota
	Warming
	Warm
	Leaving
	Lost
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
type Turn string

// Causes for which a target is turned cold.
const (
	TurnNone        Turn = ""
	TurnReported    Turn = "reported-cold"
	TurnIncarnation Turn = "new-incarnation"
	TurnShed        Turn = "shed"
	TurnReset       Turn = "connection-reset"
	TurnLatency     Turn = "latency-jump"
	TurnReturned    Turn = "returned"
	TurnHandedOver  Turn = "handed-over"
)

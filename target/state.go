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

// Turn is why a target was taken for cold.
type Turn string

// Reasons to take a target for cold.
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

package peers

import (
	"time"

	"fescuerill/internal/fleet/feed"
)

// maxLocalAge is the age of what a host knows of the store up to which a full update is
// taken from a host of the same data centre, although one elsewhere has a later position:
// the changes after it are few, and follow in the next update.
const maxLocalAge = 1600 * time.Millisecond

// UpdateCandidate is a host that was asked for its position.
type UpdateCandidate struct {
	// Replied is set if the host has replied; the other fields are valid only then.
	Replied  bool
	Position feed.Position
	// Age is the time since the store last answered the host or one that it follows.
	Age time.Duration
	// Local is set if the host is in the data centre of the one that asks.
	Local bool
}

// ChooseUpdateSource returns the index of the host to request a full update from, or -1 if
// none has replied. A full update is large, so a current host of the same data centre comes
// before one elsewhere; of hosts that are equal in this the latest position is chosen.
func ChooseUpdateSource(candidates []UpdateCandidate) int {
	best := -1
	for i, c := range candidates {
		if c.Replied && (best < 0 || c.better(candidates[best])) {
			best = i
		}
	}
	return best
}

func (c UpdateCandidate) better(other UpdateCandidate) bool {
	if c.currentLocal() != other.currentLocal() {
		return c.currentLocal()
	}
	return other.Position.Before(c.Position)
}

func (c UpdateCandidate) currentLocal() bool { return c.Local && c.Age <= maxLocalAge }

func milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

package feed

import "time"

// State describes how current the known items of the store are.
type State struct {
	// Position is the position up to which changes are known, and Age the time since
	// the store last answered this host or a host from which it got an update.
	Position Position
	Age      time.Duration
	// NewestEra is the latest known era of the store.
	NewestEra int64
	// Reachable reports whether the store answers, and ChangedAt is when it was last
	// lost or regained; zero if it never was.
	Reachable bool
	ChangedAt time.Time
}

// State returns how current the known items of the store are.
func (f *Feed) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{
		Position: f.cursor.Position(), NewestEra: f.cursor.NewestEra(), Age: now.Sub(f.cursor.LastReply()), Reachable: f.cursor.Reachable(), ChangedAt: f.changedAt,
	}
}

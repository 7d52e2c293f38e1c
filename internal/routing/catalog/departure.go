package catalog

import "time"

const (
	// departureRetention is how long the last report of a dropped target is remembered. A copy
	// from which the store comes back is some seconds old.
	departureRetention = time.Minute
	// HoldTime is how long an unconfirmed report of a dropped target is held back. A target that
	// is alive makes a new report within that time, and the entry of one that is not lapses.
	HoldTime = 4 * time.Second
)

// departure is what is known of a target that was dropped.
type departure struct {
	last Target
	at   time.Time
	// held is an old report that the store has again since heldAt, or nil.
	held   *Target
	heldAt time.Time
}

// depart drops a target and remembers its last report.
func (c *Catalog) depart(now time.Time, e *Entry) {
	if c.departures == nil {
		c.departures = map[string]*departure{}
	}
	c.departures[e.ID] = &departure{last: e.Target, at: now}
	c.drop(e.ID)
}

// PutUnconfirmed records a target like Put, from a copy of the store that may be older than
// what is known. A report that is not newer than the last one of a target that was dropped is
// held back until ReleaseHeld returns it.
func (c *Catalog) PutUnconfirmed(now time.Time, t Target) bool {
	if old := c.targets[t.ID]; old != nil && old.newerThan(t) {
		old.missing = old.missing && t.Incarnation != old.Incarnation
		return false
	}
	d := c.departures[t.ID]
	if d == nil || t.newerThan(d.last) {
		return c.Put(now, t)
	}
	d.held, d.heldAt, d.at = &t, now, now
	return false
}

// ReleaseHeld appends to dst the reports that were held back for HoldTime without a newer one,
// and without being removed from the store. They are no longer held.
func (c *Catalog) ReleaseHeld(now time.Time, dst []Target) []Target {
	for _, d := range c.departures {
		if d.held != nil && now.Sub(d.heldAt) > HoldTime {
			dst = append(dst, *d.held)
			d.held = nil
		}
	}
	return dst
}

// expireDepartures forgets the targets that were dropped long ago.
func (c *Catalog) expireDepartures(now time.Time) {
	for id, d := range c.departures {
		if now.Sub(d.at) > departureRetention {
			delete(c.departures, id)
		}
	}
}

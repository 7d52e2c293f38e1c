package catalog

import (
	"time"
)

// ReregistrationTimeout is the time after the end of an outage of the store within which
// a target whose record was lost registers again. The platform promises two seconds.
const ReregistrationTimeout = 2300 * time.Millisecond

// Target is a target as recorded in the store.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Incarnation distinguishes the starts of a target under the same ID; later
	// starts have higher values.
	Incarnation int64
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Leaving reports that the target is shutting down and accepts no new requests.
	Leaving bool
	// WarmupLeft is the remaining warm-up time as of the report.
	WarmupLeft time.Duration
	// Sequence increases with each report of one incarnation.
	Sequence int64
}

// Entry is a target together with the state that the host derives for it.
type Entry struct {
	Target
	// ColdUntil is the time at which the target becomes warm; zero if it was warm when it
	// was last reported.
	ColdUntil time.Time
	// presumedColdUntil is the time until which the target counts as cold because it accepted no
	// connections, or zero.
	presumedColdUntil time.Time
	// missing reports that the target's record disappeared from the store during an outage
	// or soon after it.
	missing bool
	// ignored is the last report that was ignored since it is older than this one, or nil.
	ignored *Target
}

// Catalog holds all known targets. The zero value is empty and ready to use. It is
// not safe for concurrent use.
type Catalog struct {
	targets   map[string]*Entry
	services  map[string][]*Entry
	evacuated map[string]evacuation
	// statements holds what targets said of themselves in their answers, by ID. They outlive
	// the record of the target.
	statements map[string]*statement
	// departures holds the targets that were dropped lately, by ID.
	departures map[string]*departure
	// lastOutage is the time of the latest outage in which a target became missing.
	lastOutage time.Time
}

// Get returns the target with the ID, or nil.
func (c *Catalog) Get(id string) *Entry { return c.targets[id] }

// Len returns the number of known targets.
func (c *Catalog) Len() int { return len(c.targets) }

// Service returns the targets of a service. The slice must not be modified and is
// valid until the next change of the catalog.
func (c *Catalog) Service(name string) []*Entry { return c.services[name] }

// Each calls f for each target.
func (c *Catalog) Each(f func(*Entry)) {
	for _, e := range c.targets {
		f(e)
	}
}

// Put records a target as reported by the store, and reports whether the report is more
// than a heartbeat: whether it changes anything but the sequence number and the
// remaining warm-up time of a target that stays cold. An older report is ignored, unless it
// follows another ignored one: then it is the known report that was odd.
func (c *Catalog) Put(now time.Time, t Target) bool {
	old := c.targets[t.ID]
	if old != nil && t.Incarnation == old.Incarnation {
		old.missing = false
	}
	if old != nil && old.newerThan(t) {
		last := old.ignored
		old.ignored = &t
		if last == nil || !t.newerThan(*last) || t.Incarnation != last.Incarnation || old.leftBefore(t) {
			return false
		}
		c.moveStatement(t.ID, old.Incarnation, t.Incarnation)
	}
	e := &Entry{Target: t}
	if t.WarmupLeft > 0 {
		e.ColdUntil = now.Add(t.WarmupLeft)
	}
	e.keepPresumption(old)
	if old != nil && equalIgnoringHeartbeat(old.Target, t) {
		old.Target = t
		old.ColdUntil = e.ColdUntil
		old.ignored = nil
		return false
	}
	c.drop(t.ID)
	delete(c.departures, t.ID)
	if c.targets == nil {
		c.targets = map[string]*Entry{}
		c.services = map[string][]*Entry{}
	}
	c.targets[t.ID] = e
	c.services[t.Service] = append(c.services[t.Service], e)
	return true
}

// newerThan reports whether a report of a target is newer than another one.
func (t Target) newerThan(other Target) bool {
	return t.Incarnation > other.Incarnation || t.Incarnation == other.Incarnation && t.Sequence > other.Sequence
}

// leftBefore reports whether a report says that the target is not leaving, although the same
// incarnation has said that it is. No target takes that back.
func (t Target) leftBefore(other Target) bool {
	return t.Leaving && !other.Leaving && t.Incarnation == other.Incarnation
}

// equalIgnoringHeartbeat reports whether two reports differ at most in their sequence
// numbers and in their remaining warm-up times, while both are cold or both warm.
func equalIgnoringHeartbeat(a, b Target) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmupLeft = min(a.WarmupLeft, 1)
	b.WarmupLeft = min(b.WarmupLeft, 1)
	return a == b
}

// Remove records that the target is no longer in the store and reports whether it
// was dropped at once. outage is when the host that read the store last found it to be
// out, or zero. A target whose record disappeared within ReregistrationTimeout of an
// outage is kept, and dropped by Expire unless it registers again. A leaving target is
// always dropped.
func (c *Catalog) Remove(now time.Time, id string, outage time.Time) bool {
	if d := c.departures[id]; d != nil {
		d.held = nil
	}
	e := c.targets[id]
	if e == nil {
		return false
	}
	if c.Leaving(e) || outage.IsZero() || now.Sub(outage) > ReregistrationTimeout {
		c.depart(now, e)
		return true
	}
	if outage.After(c.lastOutage) {
		c.lastOutage = outage
	}
	e.missing = true
	return false
}

// Expire drops the missing targets that did not register again within
// ReregistrationTimeout of the outage, and appends their IDs to dst. It also drops what
// targets said, and the departures of targets, long ago.
func (c *Catalog) Expire(now time.Time, dst []string) []string {
	c.expireStatements(now)
	c.expireDepartures(now)
	for id, e := range c.targets {
		if e.missing && now.Sub(c.lastOutage) > ReregistrationTimeout {
			c.depart(now, e)
			dst = append(dst, id)
		}
	}
	return dst
}

func (c *Catalog) drop(id string) {
	e := c.targets[id]
	if e == nil {
		return
	}
	delete(c.targets, id)
	list := c.services[e.Service]
	kept := make([]*Entry, 0, len(list))
	for _, other := range list {
		if other.ID != id {
			kept = append(kept, other)
		}
	}
	c.services[e.Service] = kept
}

// Usable reports whether new requests can be sent to the target while it is open: it is not
// leaving, and its data centre is not evacuated.
func (c *Catalog) Usable(e *Entry) bool { return !c.Leaving(e) && !c.Evacuated(e.DataCentre) }

package catalog

import (
	"time"
)

// ReregistrationTimeout is how long after the store answers again a target that vanished
// meanwhile may take to register. The platform promises two seconds.
const ReregistrationTimeout = 2300 * time.Millisecond

// Target is what the store says of a target.
type Target struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Incarnation tells one start under an ID from the next.
	Incarnation int64
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving says that the target takes no new requests.
	Leaving bool
	// WarmupLeft is how long the target was to stay cold when it was heard of.
	WarmupLeft time.Duration
	// Sequence rises with each report of one incarnation.
	Sequence int64
}

// Entry is a target and what follows for the host from what was heard of it.
type Entry struct {
	Target
	// ColdUntil is when the target becomes warm.
	ColdUntil time.Time
	// missing says that the target vanished from the store.
	missing bool
}

// Catalog is what is known of all targets. The zero value knows none and is
// ready. It is not safe for use by several goroutines.
type Catalog struct {
	targets  map[string]*Entry
	services map[string][]*Entry
	out      map[string]bool
	troubled time.Time
}

// Get returns the target with the ID, or nil.
func (c *Catalog) Get(id string) *Entry { return c.targets[id] }

// Len returns the number of targets known.
func (c *Catalog) Len() int { return len(c.targets) }

// Service returns the targets of a service. The slice must not be changed and
// holds until the next change.
func (c *Catalog) Service(name string) []*Entry { return c.services[name] }

// Each calls f for each target.
func (c *Catalog) Each(f func(*Entry)) {
	for _, k := range c.targets {
		f(k)
	}
}

// Put takes what the store says of a target and reports whether more than its
// sequence has changed.
func (c *Catalog) Put(now time.Time, t Target) bool {
	old := c.targets[t.ID]
	if old != nil && (t.Incarnation < old.Incarnation || t.Incarnation == old.Incarnation && t.Sequence < old.Sequence) {
		return false
	}
	k := &Entry{Target: t}
	if t.WarmupLeft > 0 {
		k.ColdUntil = now.Add(t.WarmupLeft)
	}
	if old != nil && same(old.Target, t) {
		old.missing = false
		old.Target = t
		old.ColdUntil = k.ColdUntil
		return false
	}
	c.drop(t.ID)
	if c.targets == nil {
		c.targets = map[string]*Entry{}
		c.services = map[string][]*Entry{}
	}
	c.targets[t.ID] = k
	c.services[t.Service] = append(c.services[t.Service], k)
	return true
}

func same(a, b Target) bool {
	a.Sequence, b.Sequence = 0, 0
	a.WarmupLeft = min(a.WarmupLeft, 1)
	b.WarmupLeft = min(b.WarmupLeft, 1)
	return a == b
}

// Remove takes that the target is no longer in the store and reports whether it
// was dropped at once. trouble is when the store last had trouble, as known to
// whoever read it, or zero. A target that vanished near such trouble is dropped
// by Expire unless it comes back.
func (c *Catalog) Remove(now time.Time, id string, trouble time.Time) bool {
	k := c.targets[id]
	if k == nil {
		return false
	}
	if k.Leaving || trouble.IsZero() || now.Sub(trouble) > ReregistrationTimeout {
		c.drop(id)
		return true
	}
	if trouble.After(c.troubled) {
		c.troubled = trouble
	}
	k.missing = true
	return false
}

// Expire drops the targets that did not come back in time after trouble of the
// store has ended, and appends their IDs to dst.
func (c *Catalog) Expire(now time.Time, dst []string) []string {
	for id, k := range c.targets {
		if k.missing && now.Sub(c.troubled) > ReregistrationTimeout {
			c.drop(id)
			dst = append(dst, id)
		}
	}
	return dst
}

func (c *Catalog) drop(id string) {
	k := c.targets[id]
	if k == nil {
		return
	}
	delete(c.targets, id)
	list := c.services[k.Service]
	kept := make([]*Entry, 0, len(list))
	for _, o := range list {
		if o.ID != id {
			kept = append(kept, o)
		}
	}
	c.services[k.Service] = kept
}

// SetEvacuated takes whether the operators have taken a data centre out and reports
// whether that is new.
func (c *Catalog) SetEvacuated(dataCentre string, out bool) bool {
	if c.out[dataCentre] == out {
		return false
	}
	if c.out == nil {
		c.out = map[string]bool{}
	}
	c.out[dataCentre] = out
	return true
}

// Evacuated reports whether a data centre is taken out.
func (c *Catalog) Evacuated(dataCentre string) bool { return c.out[dataCentre] }

// AppendEvacuated appends to dst the data centres that are taken out.
func (c *Catalog) AppendEvacuated(dst []string) []string {
	for name, out := range c.out {
		if out {
			dst = append(dst, name)
		}
	}
	return dst
}

// Usable reports whether the target may be given new requests.
func (c *Catalog) Usable(k *Entry) bool { return !k.Leaving && !c.Evacuated(k.DataCentre) }

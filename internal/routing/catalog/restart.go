package catalog

import "time"

// PresumeRestart records that a target accepts no connections, and reports whether it was known
// as warm. The target may be starting again and be cold once it accepts them, which its report
// tells seconds later. Until then it counts as cold: until a time, or until the report of a
// later start.
func (c *Catalog) PresumeRestart(now time.Time, id string, until time.Time) bool {
	e := c.targets[id]
	if e == nil {
		return false
	}
	wasWarm := !now.Before(e.ColdUntil)
	e.presumedColdUntil = later(e.presumedColdUntil, until)
	e.ColdUntil = later(e.ColdUntil, until)
	return wasWarm
}

// keepPresumption takes over what is presumed of the same start of the target.
func (e *Entry) keepPresumption(old *Entry) {
	if old == nil || old.Incarnation != e.Incarnation {
		return
	}
	e.presumedColdUntil = old.presumedColdUntil
	e.ColdUntil = later(e.ColdUntil, e.presumedColdUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

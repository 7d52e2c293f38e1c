package catalog

import "time"

const (
	// MaxClosed is the longest time for which a target is closed by one answer. A longer
	// time that a target states is cut to it.
	MaxClosed = 5 * time.Minute
	// statementRetention is how long a statement is kept after it was made or, if it closed
	// the target, after the end of that time. Nothing else may recall it: the record of the
	// target may lapse and come back, and an old copy of it may still say that it is ready.
	statementRetention = 10 * time.Minute
)

// statement is what a target said of itself in its answers. It applies to one incarnation.
type statement struct {
	incarnation int64
	leaving     bool
	closedUntil time.Time
	madeAt      time.Time
}

// StateLeaving records that an incarnation of a target said in an answer that it is
// leaving, and reports whether that is new. It holds whatever the store says.
func (c *Catalog) StateLeaving(now time.Time, id string, incarnation int64) bool {
	s := c.statement(id, incarnation)
	if s == nil || s.leaving {
		return false
	}
	s.leaving, s.madeAt = true, now
	return true
}

// StateClosed records that an incarnation of a target asked in an answer to be sent no
// requests for some time, at most MaxClosed, and reports whether it was open until now.
func (c *Catalog) StateClosed(now time.Time, id string, incarnation int64, d time.Duration) bool {
	s := c.statement(id, incarnation)
	if s == nil {
		return false
	}
	wasOpen := !now.Before(s.closedUntil)
	if until := now.Add(min(d, MaxClosed)); until.After(s.closedUntil) {
		s.closedUntil, s.madeAt = until, until
	}
	return wasOpen
}

// statement returns the statement of an incarnation of a target, which it creates if there
// is none, or nil if there is one of a later incarnation.
func (c *Catalog) statement(id string, incarnation int64) *statement {
	s := c.statements[id]
	if s != nil && s.incarnation == incarnation {
		return s
	}
	e := c.targets[id]
	if s != nil && s.incarnation > incarnation || e != nil && e.Incarnation > incarnation {
		return nil
	}
	if c.statements == nil {
		c.statements = map[string]*statement{}
	}
	s = &statement{incarnation: incarnation}
	c.statements[id] = s
	return s
}

// moveStatement assigns what a target said under one incarnation to another one, which turned
// out to be the one that runs.
func (c *Catalog) moveStatement(id string, from, to int64) {
	if s := c.statements[id]; s != nil && s.incarnation == from {
		s.incarnation = to
	}
}

// Leaving reports whether a target is leaving, by its record in the store or by its answers.
func (c *Catalog) Leaving(e *Entry) bool {
	s := c.statements[e.ID]
	return e.Leaving || s != nil && s.incarnation == e.Incarnation && s.leaving
}

// ClosedFor returns how much longer a target is closed, or 0 if it is open.
func (c *Catalog) ClosedFor(now time.Time, e *Entry) time.Duration {
	s := c.statements[e.ID]
	if s == nil || s.incarnation != e.Incarnation {
		return 0
	}
	return max(0, s.closedUntil.Sub(now))
}

// expireStatements drops the statements that are older than statementRetention.
func (c *Catalog) expireStatements(now time.Time) {
	for id, s := range c.statements {
		if now.Sub(s.madeAt) > statementRetention {
			delete(c.statements, id)
		}
	}
}

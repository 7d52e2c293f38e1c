package feed

import "time"

// Constants of a Cursor.
const (
	// Pace is the time between two calls for changes. The store counts calls,
	// and one that waits returns at the first change.
	Pace = time.Second
	// retryLeast and retryMost bound the pause after a call that failed.
	retryLeast = 100 * time.Millisecond
	retryMost  = time.Second
	// troubleAfter is the number of calls in a row that fail before the store
	// is thought to have trouble.
	troubleAfter = 2
	// staleAfter is the age from which what another host knows is not good
	// enough for one that could read the store.
	staleAfter = 1600 * time.Millisecond
	// distrustFor is how long a host that was behind is not asked.
	distrustFor = 2500 * time.Millisecond
)

// Action is what a Cursor does next.
type Action int

// Actions of a Cursor.
const (
	// None means that nothing is due.
	None Action = iota
	// List reads everything from the store.
	List
	// Watch asks the store for changes.
	Watch
	// Ask asks another host for changes.
	Ask
)

// Cursor decides how a host keeps up with the store. The zero value has read
// nothing. It is not safe for use by several goroutines.
type Cursor struct {
	revision int64
	listed   bool
	failures int
	asked    bool
	next     time.Time
	heard    time.Time
	trouble  time.Time
	// told is when the store last had trouble for the hosts that told this one.
	told     time.Time
	distrust time.Time
}

// Revision returns the revision up to which the store is known.
func (c *Cursor) Revision() int64 { return c.revision }

// Listed reports whether everything has been read once.
func (c *Cursor) Listed() bool { return c.listed }

// Heard returns when the store, or a host that had heard of it, answered last.
func (c *Cursor) Heard() time.Time { return c.heard }

// Trouble returns when the store last had trouble, or zero.
func (c *Cursor) Trouble() time.Time { return c.trouble }

// SourceTrouble returns when the store last had trouble for whoever read what is known
// here, or zero. A host that the store does not serve knows it from others, for whom it
// may be well.
func (c *Cursor) SourceTrouble() time.Time {
	if c.failures > 0 {
		return c.told
	}
	return c.trouble
}

// Reached reports whether the last call to the store was answered.
func (c *Cursor) Reached() bool { return c.failures == 0 && c.listed }

// Next returns what to do now, or None and when to ask again. guide says that
// another host of the data centre reads the store for this one; peers says that
// there is any other host.
func (c *Cursor) Next(now time.Time, guide, peers bool) (Action, time.Time) {
	if now.Before(c.next) {
		return None, c.next
	}
	if c.failures > 0 && peers && !c.asked {
		c.asked = true
		return Ask, now
	}
	c.asked = false
	switch {
	case !c.listed:
		return List, now
	case guide && c.failures == 0 && now.After(c.distrust):
		return Ask, now
	}
	return Watch, now
}

// Read takes that the store answered a call begun at a time, with everything or
// with changes, up to a revision.
func (c *Cursor) Read(began, now time.Time, revision int64) {
	c.revision = max(c.revision, revision)
	c.listed = true
	c.failures = 0
	c.heard = now
	c.next = began.Add(Pace)
}

// Told takes that another host answered, which knows the store up to a revision
// and heard of it some time ago.
func (c *Cursor) Told(began, now time.Time, revision int64, age time.Duration, trouble time.Time) {
	c.revision = max(c.revision, revision)
	c.listed = true
	if trouble.After(c.told) {
		c.told = trouble
	}
	if trouble.After(c.trouble) {
		c.trouble = trouble
	}
	if at := now.Add(-age); at.After(c.heard) {
		c.heard = at
	}
	if c.failures > 0 {
		return
	}
	if age > staleAfter {
		c.distrust = now.Add(distrustFor)
		c.next = now
		return
	}
	c.next = began.Add(Pace / 2)
}

// Untold takes that another host could not be asked.
func (c *Cursor) Untold(now time.Time) {
	if c.failures == 0 {
		c.distrust = now.Add(distrustFor)
		c.next = now
	}
}

// Failed takes that a call to the store failed.
func (c *Cursor) Failed(now time.Time) {
	c.failures++
	if c.failures >= troubleAfter {
		c.trouble = now
	}
	c.next = now.Add(min(retryMost, retryLeast<<min(c.failures-1, 4)))
}

// Forgotten takes that the store no longer has the changes after the revision.
func (c *Cursor) Forgotten(now time.Time) {
	c.listed = false
	c.trouble = now
	c.next = now
}

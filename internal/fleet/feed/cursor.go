package feed

import "time"

// Constants of a Cursor.
const (
	// watchInterval is the time between two calls for changes. The store counts calls,
	// and one that waits returns at the first change.
	watchInterval = time.Second
	// minRetryDelay and retryMost bound the pause after a call that failed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// outageThreshold is the number of calls in a row that fail before the store
	// is thought to have trouble.
	outageThreshold = 2
	// maxUpdateAge is the age from which what another host knows is not good
	// enough for one that could read the store.
	maxUpdateAge = 1600 * time.Millisecond
	// peerBackoff is how long a host that was behind is not asked.
	peerBackoff = 2500 * time.Millisecond
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
	// Fetch asks another host for changes.
	Fetch
)

// Cursor decides how a host keeps up with the store. The zero value has read
// nothing. It is not safe for use by several goroutines.
type Cursor struct {
	revision   int64
	listed     bool
	failures   int
	askedPeer  bool
	nextCall   time.Time
	lastReply  time.Time
	lastOutage time.Time
	// peerOutage is when the store last had trouble for the hosts that told this one.
	peerOutage     time.Time
	peerBackoffEnd time.Time
}

// Revision returns the revision up to which the store is known.
func (c *Cursor) Revision() int64 { return c.revision }

// Listed reports whether everything has been read once.
func (c *Cursor) Listed() bool { return c.listed }

// LastReply returns when the store, or a host that had heard of it, answered last.
func (c *Cursor) LastReply() time.Time { return c.lastReply }

// LastOutage returns when the store last had trouble, or zero.
func (c *Cursor) LastOutage() time.Time { return c.lastOutage }

// ReaderOutage returns when the store last had trouble for whoever read what is known
// here, or zero. A host that the store does not serve knows it from others, for whom it
// may be well.
func (c *Cursor) ReaderOutage() time.Time {
	if c.failures > 0 {
		return c.peerOutage
	}
	return c.lastOutage
}

// Reachable reports whether the last call to the store was answered.
func (c *Cursor) Reachable() bool { return c.failures == 0 && c.listed }

// Next returns what to do now, or None and when to ask again. guide says that
// another host of the data centre reads the store for this one; peers says that
// there is any other host.
func (c *Cursor) Next(now time.Time, guide, peers bool) (Action, time.Time) {
	if now.Before(c.nextCall) {
		return None, c.nextCall
	}
	if c.failures > 0 && peers && !c.askedPeer {
		c.askedPeer = true
		return Fetch, now
	}
	c.askedPeer = false
	switch {
	case !c.listed:
		return List, now
	case guide && c.failures == 0 && now.After(c.peerBackoffEnd):
		return Fetch, now
	}
	return Watch, now
}

// StoreReplied takes that the store answered a call begun at a time, with everything or
// with changes, up to a revision.
func (c *Cursor) StoreReplied(began, now time.Time, revision int64) {
	c.revision = max(c.revision, revision)
	c.listed = true
	c.failures = 0
	c.lastReply = now
	c.nextCall = began.Add(watchInterval)
}

// PeerReplied takes that another host answered, which knows the store up to a revision
// and heard of it some time ago.
func (c *Cursor) PeerReplied(began, now time.Time, revision int64, age time.Duration, trouble time.Time) {
	c.revision = max(c.revision, revision)
	c.listed = true
	if trouble.After(c.peerOutage) {
		c.peerOutage = trouble
	}
	if trouble.After(c.lastOutage) {
		c.lastOutage = trouble
	}
	if at := now.Add(-age); at.After(c.lastReply) {
		c.lastReply = at
	}
	if c.failures > 0 {
		return
	}
	if age > maxUpdateAge {
		c.peerBackoffEnd = now.Add(peerBackoff)
		c.nextCall = now
		return
	}
	c.nextCall = began.Add(watchInterval / 2)
}

// PeerFailed takes that another host could not be asked.
func (c *Cursor) PeerFailed(now time.Time) {
	if c.failures == 0 {
		c.peerBackoffEnd = now.Add(peerBackoff)
		c.nextCall = now
	}
}

// StoreFailed takes that a call to the store failed.
func (c *Cursor) StoreFailed(now time.Time) {
	c.failures++
	if c.failures >= outageThreshold {
		c.lastOutage = now
	}
	c.nextCall = now.Add(min(maxRetryDelay, minRetryDelay<<min(c.failures-1, 4)))
}

// Compacted takes that the store no longer has the changes after the revision.
func (c *Cursor) Compacted(now time.Time) {
	c.listed = false
	c.lastOutage = now
	c.nextCall = now
}

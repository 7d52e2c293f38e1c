package feed

import "time"

// Intervals and limits of a Cursor.
const (
	// watchInterval is the minimum time between two calls for changes. Without it, a call
	// would follow each change, as a waiting call returns at the first one, and the store
	// counts the calls.
	watchInterval = time.Second
	// returnInterval replaces watchInterval for returnPeriod after an outage of the store,
	// in which the targets whose entries have lapsed register again.
	returnInterval = 250 * time.Millisecond
	returnPeriod   = 3 * time.Second
	// minRetryDelay and maxRetryDelay bound the back-off after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// startRetryDelay is the delay after a call that did not reach the store, on a host
	// that has no list of the items yet: it cannot serve without one, and such calls are no
	// load for the store.
	startRetryDelay = 150 * time.Millisecond
	// refusedRetryDelay is the delay after a failed call of a host that gets current updates
	// from other hosts, as the store serves them and refuses this one only, or whose reader
	// is alive and calls the store itself: if all hosts did, it would return to a crowd.
	refusedRetryDelay = 4 * time.Second
	// outageThreshold is the number of consecutive failed calls from which the
	// store is considered down.
	outageThreshold = 2
	// maxUpdateAge is the age above which an update from another host is too old
	// for a host that can read the store itself.
	maxUpdateAge = 1600 * time.Millisecond
	// peerBackoff is how long no updates are requested from other hosts after one
	// failed to answer or its update was too old.
	peerBackoff = 2500 * time.Millisecond
	// eraFetchTimeout is how long a host that knows of a new era of the store waits for its
	// reader to provide all items of that era, before it lists them itself: if all hosts did
	// at once, the store would return to a crowd.
	eraFetchTimeout = 2 * time.Second
)

// Action is the next step of a host that follows the store.
type Action int

// Actions that a Cursor decides on.
const (
	// None waits, as no call is due.
	None Action = iota
	// List reads all items from the store.
	List
	// Watch requests changes from the store.
	Watch
	// Fetch requests an update from another host.
	Fetch
)

// Cursor decides when a host reads the store and when it requests updates from another
// host instead. The zero value is that of a host that has read nothing. It is not safe
// for concurrent use.
type Cursor struct {
	position Position
	listed   bool
	// newestEra is the latest era of the store that this host has seen in an answer, at
	// eraSeenAt.
	newestEra int64
	eraSeenAt time.Time
	// changesMissed is set while changes are missing that the store has lost, or that are too
	// long to be read.
	changesMissed bool
	failures      int
	askedPeer     bool
	nextCall      time.Time
	lastReply     time.Time
	lastOutage    time.Time
	// peerOutage is the time of the last store outage that other hosts reported.
	peerOutage     time.Time
	peerBackoffEnd time.Time
	// storeRetryAt is when a host that the store refuses calls it again while it gets
	// current updates from other hosts, and currentUpdateAt when it got the last one.
	storeRetryAt    time.Time
	currentUpdateAt time.Time
	// hasReader is set if the updates of other hosts come from the designated reader, and
	// peerRepliedAt is when the last one came, however old its content was.
	hasReader     bool
	peerRepliedAt time.Time
	// returnEnd is the end of the period after an outage of the store in which changes are
	// requested at returnInterval.
	returnEnd time.Time
}

// Position returns the position up to which changes of the store are known.
func (c *Cursor) Position() Position { return c.position }

// NewestEra returns the latest known era of the store. Until the items of that era have been
// read, it is later than that of Position.
func (c *Cursor) NewestEra() int64 { return max(c.newestEra, c.position.Era()) }

// leftBehind reports whether the known items are of an earlier era of the store.
func (c *Cursor) leftBehind() bool { return c.listed && c.newestEra > c.position.Era() }

// Listed reports whether a full list of the items has been read, from the store or
// from another host.
func (c *Cursor) Listed() bool { return c.listed }

// LastReply returns when the store last answered this host or, if that was later, a
// host from which this one got an update.
func (c *Cursor) LastReply() time.Time { return c.lastReply }

// LastOutage returns the time of the last known store outage, or zero.
func (c *Cursor) LastOutage() time.Time { return c.lastOutage }

// ReaderOutage returns the time of the last store outage as seen by the host that read
// the current items from the store, or zero. A host that cannot reach the store gets
// them from other hosts, which may reach it without failures.
func (c *Cursor) ReaderOutage() time.Time {
	if c.failures > 0 {
		return c.peerOutage
	}
	return c.lastOutage
}

// Reachable reports whether the store answered the last call, of this host or of the reader
// that it follows.
func (c *Cursor) Reachable() bool { return c.failures == 0 && c.listed && !c.changesMissed }

// Next returns the action that is due now, or None and the time of the next call.
// hasReader is set if another host reads the store on behalf of this one, hasPeers if an
// update can be requested from any other host.
func (c *Cursor) Next(now time.Time, hasReader, hasPeers bool) (Action, time.Time) {
	if now.Before(c.nextCall) {
		return None, c.nextCall
	}
	c.hasReader = hasReader
	if c.failures > 0 && hasPeers && (!c.askedPeer || c.leavesStoreToOthers(now)) {
		c.askedPeer = true
		return Fetch, now
	}
	c.askedPeer = false
	switch {
	case !c.listed:
		return List, now
	case c.leftBehind():
		if hasReader && now.Sub(c.eraSeenAt) < eraFetchTimeout {
			return Fetch, now
		}
		return List, now
	case hasReader && c.failures == 0 && now.After(c.peerBackoffEnd):
		return Fetch, now
	case c.changesMissed:
		return List, now
	}
	return Watch, now
}

// leavesStoreToOthers reports whether other hosts reach the store, which refuses this one, or
// the reader of this host calls it, and the next call of this host is not due yet.
func (c *Cursor) leavesStoreToOthers(now time.Time) bool {
	return c.listed && now.Before(c.storeRetryAt) && (now.Sub(c.currentUpdateAt) < maxUpdateAge || c.readerReplies(now))
}

// readerReplies reports whether the designated reader, another host, has replied recently.
func (c *Cursor) readerReplies(now time.Time) bool {
	return c.hasReader && now.Sub(c.peerRepliedAt) < maxUpdateAge
}

// StoreReplied records that the store answered a call that started at began, with all
// items or with the changes, up to a position.
func (c *Cursor) StoreReplied(began, now time.Time, position Position) {
	if c.listed && position.Era() > c.NewestEra() {
		c.lastOutage, c.returnEnd = now, now.Add(returnPeriod)
	}
	if began.After(c.eraSeenAt) {
		// Whatever was reported before, this is the era of the store.
		c.newestEra = position.Era()
	}
	c.advance(position)
	c.listed, c.changesMissed = true, false
	if c.failures > 0 {
		c.returnEnd = now.Add(returnPeriod)
	}
	c.failures = 0
	c.lastReply = now
	c.nextCall = began.Add(c.interval(now))
}

// advance moves the position forward to that of an answer.
func (c *Cursor) advance(position Position) {
	if c.position.Before(position) {
		c.position = position
	}
}

// EraSeen records that the store answered a call of any kind in an era. If the era is new, the
// store has come back from a copy, and all items must be read anew: from the reader, which must
// read them itself first, or else from the store.
func (c *Cursor) EraSeen(now time.Time, era int64) {
	if era <= c.NewestEra() {
		return
	}
	c.newestEra, c.eraSeenAt = era, now
	if !c.listed {
		return
	}
	c.lastOutage, c.returnEnd = now, now.Add(returnPeriod)
	c.peerBackoffEnd, c.nextCall = time.Time{}, now
}

// interval returns the minimum time between two calls for changes.
func (c *Cursor) interval(now time.Time) time.Duration {
	if now.Before(c.returnEnd) {
		return returnInterval
	}
	return watchInterval
}

// PeerReplied records an update from another host, which knows the store up to a
// position and last had a reply from it the given age ago. lastOutage is the time of the
// last store outage that the host reported, or zero.
func (c *Cursor) PeerReplied(began, now time.Time, position Position, age time.Duration, lastOutage time.Time) {
	c.advance(position)
	c.listed = true
	if lastOutage.After(c.peerOutage) {
		c.peerOutage = lastOutage
	}
	if lastOutage.After(c.lastOutage) {
		c.lastOutage = lastOutage
	}
	// The store may have returned as late as maxRetryDelay after the last failed call.
	if end := lastOutage.Add(maxRetryDelay + returnPeriod); end.After(c.returnEnd) {
		c.returnEnd = end
	}
	if at := now.Add(-age); at.After(c.lastReply) {
		c.lastReply = at
	}
	c.peerRepliedAt = now
	if c.hasReader && age <= maxUpdateAge {
		// The reader follows the store; what this host sees of the store itself is no
		// longer of interest.
		c.failures, c.changesMissed, c.peerBackoffEnd = 0, false, time.Time{}
	}
	if c.failures > 0 {
		c.currentUpdateAt = time.Time{}
		if age <= maxUpdateAge {
			c.currentUpdateAt = now
		}
		if c.leavesStoreToOthers(now) || age <= maxUpdateAge {
			c.nextCall = began.Add(c.interval(now) / 2)
		}
		return
	}
	if age > maxUpdateAge {
		c.peerBackoffEnd = now.Add(peerBackoff)
		c.nextCall = now
		return
	}
	c.nextCall = began.Add(c.interval(now) / 2)
}

// PeerBehind records that another host replied that knows only an earlier era of the store. It
// is asked again soon.
func (c *Cursor) PeerBehind(began, now time.Time) {
	c.currentUpdateAt, c.peerRepliedAt = time.Time{}, now
	switch {
	case c.failures > 0 && !c.leavesStoreToOthers(now):
	case c.failures == 0 && !c.leftBehind() && now.Sub(c.lastReply) > maxUpdateAge:
		c.peerBackoffEnd, c.nextCall = now.Add(peerBackoff), now
	default:
		c.nextCall = began.Add(returnInterval)
	}
}

// PeerFailed records that no update was received from another host.
func (c *Cursor) PeerFailed(now time.Time) {
	c.currentUpdateAt, c.peerRepliedAt = time.Time{}, time.Time{}
	if c.failures == 0 {
		c.peerBackoffEnd = now.Add(peerBackoff)
		c.nextCall = now
	}
}

// StoreFailed records that a call to the store failed. unreached is set if the call did not
// reach the store.
func (c *Cursor) StoreFailed(now time.Time, unreached bool) {
	c.failures++
	if c.failures >= outageThreshold {
		c.lastOutage = now
		c.storeRetryAt = now.Add(refusedRetryDelay)
	}
	c.nextCall = now.Add(min(maxRetryDelay, minRetryDelay<<min(c.failures-1, 4)))
	if unreached && !c.listed {
		c.nextCall = now.Add(startRetryDelay)
	}
}

// ChangesMissed records that the changes after the current revision cannot be read. They are
// requested from the reader, or else all items must be listed again. Until then, what is known
// stays in use.
func (c *Cursor) ChangesMissed(now time.Time) {
	c.changesMissed, c.peerBackoffEnd = true, time.Time{}
	c.nextCall = now
}

// Compacted records that the store has compacted its history, so that the changes after the
// current revision are lost.
func (c *Cursor) Compacted(now time.Time) {
	c.ChangesMissed(now)
	c.lastOutage = now
}

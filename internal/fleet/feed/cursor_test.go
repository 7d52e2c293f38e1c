package feed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listed() *feed.Cursor {
	var c feed.Cursor
	c.StoreReplied(at(0), at(5), feed.At(0, 100))
	return &c
}

func next(c *feed.Cursor, ms int, hasReader, hasPeers bool) feed.Action {
	action, _ := c.Next(at(ms), hasReader, hasPeers)
	return action
}

func TestCursorListsThenWatchesAtInterval(t *testing.T) {
	var c feed.Cursor
	assert.Equal(t, feed.List, next(&c, 0, true, true))
	c.StoreReplied(at(0), at(5), feed.At(0, 100))
	assert.Equal(t, feed.None, next(&c, 900, false, true))
	assert.Equal(t, feed.Watch, next(&c, 1000, false, true))
	c.StoreReplied(at(1000), at(1010), feed.At(0, 120))
	assert.Equal(t, feed.At(0, 120), c.Position())
	c.StoreReplied(at(1000), at(1020), feed.At(0, 110))
	assert.Equal(t, feed.At(0, 120), c.Position(), "a stale reply does not decrease the revision")
}

func TestHostWithReaderDoesNotCallStore(t *testing.T) {
	c := listed()
	for ms := 1000; ms < 60_000; ms += 500 {
		assert.Equal(t, feed.Fetch, next(c, ms, true, true))
		c.PeerReplied(at(ms), at(ms+1), feed.At(0, 100), 300*time.Millisecond, time.Time{})
	}
}

func TestHostReadsStoreWhenReaderIsBehindOrSilent(t *testing.T) {
	c := listed()
	c.PeerReplied(at(1000), at(1001), feed.At(0, 100), 3*time.Second, time.Time{})
	assert.Equal(t, feed.Watch, next(c, 1001, true, true))
	c.StoreReplied(at(1001), at(1010), feed.At(0, 101))
	assert.Equal(t, feed.Watch, next(c, 2001, true, true), "no updates are fetched during the back-off")
	assert.Equal(t, feed.Fetch, next(c, 5000, true, true))
	c.PeerFailed(at(5000))
	assert.Equal(t, feed.Watch, next(c, 5000, true, true))
}

// runWithoutStore follows the store from 1 s until the given time, on a host whose calls to
// it all fail and that gets updates of the given age from other hosts, or from its reader if
// hasReader is set. It returns the
// numbers of calls and of updates.
func runWithoutStore(c *feed.Cursor, untilMs int, age time.Duration, hasReader bool) (calls, fetched int) {
	for ms := 1000; ms < untilMs; {
		action, when := c.Next(at(ms), hasReader, true)
		switch action {
		case feed.Watch:
			calls++
			c.StoreFailed(at(ms), false)
		case feed.Fetch:
			fetched++
			c.PeerReplied(at(ms), at(ms), feed.At(0, 100), age, time.Time{})
		default:
			ms = int(when.Sub(at(0)).Milliseconds())
		}
	}
	return calls, fetched
}

func TestUnreachableStoreAlternatesRetriesAndFetches(t *testing.T) {
	c := listed()
	calls, fetched := runWithoutStore(c, 11_000, 10*time.Second, false)
	assert.InDelta(t, calls, fetched, 1)
	assert.Less(t, calls, 16, "failed calls count as calls to the store too")
	assert.Greater(t, calls, 8)
	assert.WithinRange(t, c.LastOutage(), at(10_000), at(11_000))
}

func TestSingleFailureIsNoOutage(t *testing.T) {
	c := listed()
	c.StoreFailed(at(1000), false)
	assert.True(t, c.LastOutage().IsZero())
	assert.False(t, c.Reachable())
	c.StoreReplied(at(1100), at(1101), feed.At(0, 101))
	assert.True(t, c.Reachable())
	c.Compacted(at(2000))
	assert.Equal(t, at(2000), c.LastOutage())
	assert.Equal(t, feed.List, next(c, 2000, false, false))
}

func TestCursorRetriesFasterWithoutListIfStoreIsUnreachable(t *testing.T) {
	var c feed.Cursor
	for ms := 0; ms < 3000; ms += 150 {
		assert.Equal(t, feed.List, next(&c, ms, false, false))
		c.StoreFailed(at(ms), true)
	}
	c.StoreFailed(at(3000), false)
	assert.Equal(t, feed.None, next(&c, 3900, false, false), "the store answers, so that each call is a load")
	withList := listed()
	for range 5 {
		withList.StoreFailed(at(1000), true)
	}
	assert.Equal(t, feed.None, next(withList, 1900, false, false))
}

// TestCursorFollowsFasterAfterOutage checks the period in which targets register again.
func TestCursorFollowsFasterAfterOutage(t *testing.T) {
	reader := listed()
	reader.StoreFailed(at(1000), false)
	reader.StoreFailed(at(2000), false)
	reader.StoreReplied(at(3000), at(3010), feed.At(0, 110))
	assert.Equal(t, feed.None, next(reader, 3240, false, true))
	assert.Equal(t, feed.Watch, next(reader, 3250, false, true))
	reader.StoreReplied(at(6020), at(6030), feed.At(0, 120))
	assert.Equal(t, feed.None, next(reader, 6900, false, true))

	other := listed()
	other.PeerReplied(at(3020), at(3021), feed.At(0, 110), 10*time.Millisecond, at(2000))
	assert.Equal(t, feed.None, next(other, 3140, true, true))
	assert.Equal(t, feed.Fetch, next(other, 3145, true, true))
	other.PeerReplied(at(5900), at(5901), feed.At(0, 120), 10*time.Millisecond, at(2000))
	assert.Equal(t, feed.Fetch, next(other, 6025, true, true), "the store may have returned at 3 s")
	other.PeerReplied(at(6025), at(6026), feed.At(0, 120), 10*time.Millisecond, at(2000))
	assert.Equal(t, feed.None, next(other, 6500, true, true))
}

// TestHostRefusedByStoreCallsItRarely checks a host that the store refuses for a minute
// while other hosts reach it. It stays as current as they are, with one call in 4 s. When
// their updates become old, the store is down for all, and each host calls it each second
// to notice its return.
func TestHostRefusedByStoreCallsItRarely(t *testing.T) {
	calls, fetched := runWithoutStore(listed(), 61_000, 300*time.Millisecond, false)
	assert.LessOrEqual(t, calls, 18)
	assert.GreaterOrEqual(t, calls, 14)
	assert.GreaterOrEqual(t, fetched, 90, "an update each half second, but for the first calls")
	calls, _ = runWithoutStore(listed(), 61_000, 10*time.Second, false)
	assert.GreaterOrEqual(t, calls, 59)
}

// TestStoreIsLeftToReaderInOutage checks a host whose reader is alive while the store is down
// for both. Only the reader calls the store often; the host notices its return from the
// updates of the reader.
func TestStoreIsLeftToReaderInOutage(t *testing.T) {
	c := listed()
	c.PeerReplied(at(900), at(900), feed.At(0, 100), 3*time.Second, time.Time{})
	calls, fetched := runWithoutStore(c, 61_000, 10*time.Second, true)
	assert.LessOrEqual(t, calls, 17, "a call in 4 s")
	assert.GreaterOrEqual(t, fetched, 90, "an update each half second, but for the calls")

	c = listed()
	c.PeerReplied(at(900), at(900), feed.At(0, 100), 3*time.Second, time.Time{})
	c.StoreFailed(at(1000), false)
	assert.Equal(t, feed.Fetch, next(c, 1200, true, true))
	c.PeerFailed(at(1200))
	assert.Equal(t, feed.Watch, next(c, 1200, true, true), "the reader is lost too")
}

// TestSingleFailureDoesNotLeaveStoreToReaderCutOff guards against a host whose reader is cut off
// from the store, and that leaves the store to it after one call that was cut: changes would be
// missed for longer than they may take.
func TestSingleFailureDoesNotLeaveStoreToReaderCutOff(t *testing.T) {
	const readerAge = 6 * time.Second
	c := listed()
	c.PeerReplied(at(900), at(900), feed.At(0, 100), readerAge, time.Time{})
	assert.Equal(t, feed.Watch, next(c, 1000, true, true))
	c.StoreFailed(at(1000), false)
	for ms := 1000; ms < 2000; ms += 10 {
		switch next(c, ms, true, true) {
		case feed.Fetch:
			c.PeerReplied(at(ms), at(ms), feed.At(0, 100), readerAge, time.Time{})
		case feed.Watch:
			return
		}
	}
	t.Error("the store is not called again within a second")
}

// TestReaderEndsOutageOfItsFollowers checks that a host whose own calls failed does not call
// the store again when its reader follows it: after an outage or a compaction all followers
// would do so at once.
func TestReaderEndsOutageOfItsFollowers(t *testing.T) {
	for name, fault := range map[string]func(*feed.Cursor){
		"outage": func(c *feed.Cursor) {
			c.StoreFailed(at(1100), false)
			c.StoreFailed(at(1200), false)
		},
		"compaction": func(c *feed.Cursor) { c.Compacted(at(1200)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := listed()
			assert.Equal(t, feed.Fetch, next(c, 1000, true, true))
			c.PeerReplied(at(1000), at(1000), feed.At(0, 100), 3*time.Second, time.Time{})
			fault(c)
			c.Next(at(2000), true, true)
			c.PeerReplied(at(2000), at(2000), feed.At(0, 110), 100*time.Millisecond, at(1900))
			assert.True(t, c.Reachable())
			for ms := 2500; ms < 60_000; ms += 500 {
				action := next(c, ms, true, true)
				assert.Equal(t, feed.Fetch, action)
				c.PeerReplied(at(ms), at(ms), feed.At(0, 110), 100*time.Millisecond, at(1900))
			}
		})
	}
}

package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
)

var start = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func target(sequence int64) catalog.Target {
	return catalog.Target{ID: "t", Service: "s", Address: "10.0.0.1:80", DataCentre: "a", Incarnation: 5, Slots: 2, Sequence: sequence}
}

func TestPutReportsNoChangeForHeartbeat(t *testing.T) {
	var c catalog.Catalog
	assert.True(t, c.Put(start, target(1)))
	assert.False(t, c.Put(start, target(2)))
	leaving := target(3)
	leaving.Leaving = true
	assert.True(t, c.Put(start, leaving))
	assert.False(t, c.Usable(c.Get("t")))
	assert.False(t, c.Put(start, target(2)), "an older report of the same incarnation")
	assert.True(t, c.Get("t").Leaving)
}

func TestPutReplacesOldIncarnation(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(90))
	again := target(1)
	again.Incarnation = 6
	again.WarmupLeft = 3 * time.Second
	assert.True(t, c.Put(start, again))
	assert.Len(t, c.Service("s"), 1)
	assert.Equal(t, after(3*time.Second), c.Get("t").ColdUntil)
	assert.False(t, c.Put(start, target(91)), "a report of the old incarnation")
	assert.Equal(t, int64(6), c.Get("t").Incarnation)
}

func TestPutUpdatesColdUntil(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	cold := target(2)
	cold.WarmupLeft = time.Second
	assert.True(t, c.Put(after(time.Minute), cold))
	cold.WarmupLeft, cold.Sequence = 500*time.Millisecond, 3
	c.Put(after(time.Minute+time.Second), cold)
	assert.Equal(t, after(time.Minute+1500*time.Millisecond), c.Get("t").ColdUntil)
}

func TestRemoveDropsTargetAtOnceWithoutOutage(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.True(t, c.Remove(after(time.Second), "t", time.Time{}))
	assert.Nil(t, c.Get("t"))
	assert.Empty(t, c.Service("s"))
}

func TestRemoveDuringOutageKeepsTargetForReregistration(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.False(t, c.Remove(after(10*time.Second), "t", after(10*time.Second)))
	assert.True(t, c.Usable(c.Get("t")))
	assert.Empty(t, c.Expire(after(12*time.Second), nil))
	c.Put(after(12*time.Second), target(2))
	assert.Empty(t, c.Expire(after(20*time.Second), nil), "it registered again")

	c.Remove(after(30*time.Second), "t", after(30*time.Second))
	assert.Equal(t, []string{"t"}, c.Expire(after(30*time.Second+catalog.ReregistrationTimeout+time.Millisecond), nil))
}

// TestRemoveSoonAfterOutageDropsTargetInTime guards against keeping a target for too
// long. The store serves a host again after an outage shortly before a target stops
// without deregistering. The host must drop the target once the time for targets to
// register again after the outage has passed.
func TestRemoveSoonAfterOutageDropsTargetInTime(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.False(t, c.Remove(after(900*time.Millisecond), "t", start))
	assert.Equal(t, []string{"t"}, c.Expire(after(catalog.ReregistrationTimeout+time.Millisecond), nil))
}

func TestRemoveDuringOutageDropsLeavingTarget(t *testing.T) {
	var c catalog.Catalog
	leaving := target(1)
	leaving.Leaving = true
	c.Put(start, leaving)
	assert.True(t, c.Remove(start, "t", start))
}

func TestTargetsOfEvacuatedDataCentreAreNotUsable(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.True(t, c.SetEvacuated("a", true))
	assert.False(t, c.SetEvacuated("a", true))
	assert.False(t, c.Usable(c.Get("t")))
	assert.True(t, c.SetEvacuated("a", false))
	assert.True(t, c.Usable(c.Get("t")))
}

// TestOddReportHidesNoLaterOnes guards against a report of another writer, with a start or a
// sequence number far ahead, that hides all that the target reports itself (review/13).
func TestOddReportHidesNoLaterOnes(t *testing.T) {
	odd := target(3)
	odd.Incarnation = 99_999_999_999_999
	for name, report := range map[string]catalog.Target{"start": odd, "sequence": target(1 << 40)} {
		t.Run(name, func(t *testing.T) {
			var c catalog.Catalog
			c.Put(start, target(2))
			c.Put(start, report)
			assert.False(t, c.Put(after(time.Second), target(4)), "it may be a late write of an earlier incarnation")
			c.StateClosed(after(time.Second), "t", report.Incarnation, time.Minute)
			leaving := target(9)
			leaving.Leaving = true
			assert.True(t, c.Put(after(5*time.Second), leaving))
			assert.True(t, c.Leaving(c.Get("t")))
			assert.Positive(t, c.ClosedFor(after(5*time.Second), c.Get("t")), "what the target said holds")
		})
	}
}

func TestLateReportsAreIgnored(t *testing.T) {
	var c catalog.Catalog
	leaving := target(9)
	leaving.Leaving = true
	c.Put(start, leaving)
	assert.False(t, c.Put(start, target(8)), "a late write")
	assert.False(t, c.Put(start, target(7)), "an even earlier one")
	assert.False(t, c.Put(start, target(8)), "late writes in their order")
	leaving.Sequence = 10
	assert.False(t, c.Put(start, leaving), "a heartbeat")
	assert.False(t, c.Put(start, target(8)))
	for n := range int64(5) {
		assert.False(t, c.PutUnconfirmed(start, target(4+n)), "copies of the store")
	}
	assert.True(t, c.Get("t").Leaving)
}

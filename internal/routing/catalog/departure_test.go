package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
)

// TestUnconfirmedReportOfDroppedTargetIsHeldBack checks reports from a copy of the store that is
// older than the removal of a target.
func TestUnconfirmedReportOfDroppedTargetIsHeldBack(t *testing.T) {
	restarted := target(1)
	restarted.Incarnation++
	tests := map[string]struct {
		report catalog.Target
		want   bool
	}{
		"older":       {target(8), false},
		"the last":    {target(9), false},
		"newer":       {target(10), true},
		"a new start": {restarted, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var c catalog.Catalog
			c.Put(start, target(9))
			c.Remove(start, "t", time.Time{})
			assert.Equal(t, test.want, c.PutUnconfirmed(start, test.report))
			assert.Equal(t, test.want, c.Get("t") != nil)
			assert.Empty(t, c.ReleaseHeld(after(catalog.HoldTime), nil))
		})
	}
}

func TestHeldReport(t *testing.T) {
	held := func() *catalog.Catalog {
		c := &catalog.Catalog{}
		c.Put(start, target(9))
		c.Remove(start, "t", time.Time{})
		c.PutUnconfirmed(start, target(8))
		return c
	}
	late := after(catalog.HoldTime + time.Millisecond)

	c := held()
	assert.Equal(t, []catalog.Target{target(8)}, c.ReleaseHeld(late, nil), "nothing else is known for long")
	assert.Empty(t, c.ReleaseHeld(late, nil))

	c = held()
	assert.True(t, c.Put(after(time.Second), target(10)), "the target reports again")
	assert.Empty(t, c.ReleaseHeld(late, nil))

	c = held()
	c.Remove(after(time.Second), "t", time.Time{})
	assert.Empty(t, c.ReleaseHeld(late, nil), "its entry lapses")

	c = held()
	c.Expire(after(time.Hour), nil)
	assert.True(t, c.PutUnconfirmed(after(time.Hour), target(8)), "its departure is forgotten")
}

// TestOldReportOfMissingTargetKeepsIt guards against dropping a target whose entry is in the
// store again, with an older report than the known one.
func TestOldReportOfMissingTargetKeepsIt(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(9))
	c.Remove(start, "t", start)
	assert.False(t, c.Put(after(time.Second), target(8)))
	assert.Empty(t, c.Expire(after(time.Hour), nil))
	assert.NotNil(t, c.Get("t"))
}

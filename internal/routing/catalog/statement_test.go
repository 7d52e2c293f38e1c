package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
)

// TestTargetThatSaidItIsLeavingStaysSo checks that nothing but a new incarnation makes a
// target usable again that has said in an answer that it is leaving.
func TestTargetThatSaidItIsLeavingStaysSo(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.True(t, c.StateLeaving(start, "t", 5))
	assert.False(t, c.StateLeaving(start, "t", 5), "it is known")
	assert.False(t, c.Usable(c.Get("t")))
	c.Put(after(time.Second), target(2))
	assert.False(t, c.Usable(c.Get("t")), "the store still has it as ready")
	c.Remove(after(2*time.Second), "t", time.Time{})
	c.Put(after(3*time.Second), target(3))
	assert.False(t, c.Usable(c.Get("t")), "its entry was removed and came back")
	c.Expire(after(time.Minute), nil)
	assert.False(t, c.Usable(c.Get("t")))

	again := target(1)
	again.Incarnation = 6
	c.Put(after(time.Minute), again)
	assert.True(t, c.Usable(c.Get("t")), "a new start under the same ID")
	assert.False(t, c.StateLeaving(after(time.Minute), "t", 5), "a late answer of the old start")
	assert.True(t, c.Usable(c.Get("t")))
}

// TestStatementMayPrecedeEntry records the statement of an incarnation that another host has
// told, before the store tells of it.
func TestStatementMayPrecedeEntry(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	assert.True(t, c.StateLeaving(start, "t", 6))
	assert.True(t, c.Usable(c.Get("t")), "the entry is of the incarnation before")
	again := target(1)
	again.Incarnation = 6
	c.Put(after(time.Second), again)
	assert.False(t, c.Usable(c.Get("t")))
}

func TestClosedTargetOpensAfterItsTime(t *testing.T) {
	var c catalog.Catalog
	c.Put(start, target(1))
	e := func() *catalog.Entry { return c.Get("t") }
	assert.Zero(t, c.ClosedFor(start, e()))
	assert.True(t, c.StateClosed(start, "t", 5, 3*time.Second))
	assert.False(t, c.StateClosed(after(time.Second), "t", 5, time.Second), "it is closed already")
	assert.Equal(t, time.Second, c.ClosedFor(after(2*time.Second), e()), "a shorter time does not open it earlier")
	assert.False(t, c.StateClosed(after(2*time.Second), "t", 5, 2*time.Second))
	assert.Equal(t, time.Second, c.ClosedFor(after(3*time.Second), e()))
	assert.Zero(t, c.ClosedFor(after(4*time.Second), e()))
	assert.True(t, c.StateClosed(after(5*time.Second), "t", 5, time.Hour), "closed again")
	assert.Equal(t, catalog.MaxClosed, c.ClosedFor(after(5*time.Second), e()))
	c.Remove(after(6*time.Second), "t", time.Time{})
	c.Put(after(7*time.Second), target(2))
	assert.Positive(t, c.ClosedFor(after(7*time.Second), e()), "its entry was removed and came back")
	again := target(1)
	again.Incarnation = 6
	c.Put(after(8*time.Second), again)
	assert.Zero(t, c.ClosedFor(after(8*time.Second), e()), "a new start")
}

package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
)

// TestLostEvacuationStaysInForceForAWhile checks an evacuation whose entry the store has lost.
func TestLostEvacuationStaysInForceForAWhile(t *testing.T) {
	var c catalog.Catalog
	assert.False(t, c.EvacuationLost(start, "a"), "it is not evacuated")
	assert.False(t, c.Evacuated("a"))
	c.SetEvacuated("a", true)
	assert.True(t, c.EvacuationLost(start, "a"))
	assert.Empty(t, c.ExpireEvacuations(after(catalog.EvacuationRetention), nil))
	assert.True(t, c.Evacuated("a"))

	assert.False(t, c.SetEvacuated("a", true), "its entry is written again")
	assert.Empty(t, c.ExpireEvacuations(after(time.Hour), nil))
	assert.True(t, c.EvacuationLost(after(time.Hour), "a"))
	assert.Equal(t, []string{"a"}, c.ExpireEvacuations(after(time.Hour+catalog.EvacuationRetention+1), nil))
	assert.False(t, c.Evacuated("a"))

	c.SetEvacuated("a", true)
	c.EvacuationLost(start, "a")
	assert.True(t, c.SetEvacuated("a", false), "the operators lift it")
	assert.False(t, c.Evacuated("a"))
}

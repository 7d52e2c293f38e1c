package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/catalog"
)

// TestTargetThatRefusesConnectionsCountsAsCold guards against full load on a target that has
// started again before its new report is known. Late reports of the start before say nothing.
func TestTargetThatRefusesConnectionsCountsAsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	report := func(incarnation, sequence int64, warmupLeft time.Duration) catalog.Target {
		return catalog.Target{ID: "a", Service: "s", Incarnation: incarnation, Sequence: sequence, WarmupLeft: warmupLeft}
	}
	tests := map[string]struct {
		next *catalog.Target
		want time.Time
	}{
		"no report":               {nil, at(4)},
		"heartbeat":               {&catalog.Target{ID: "a", Service: "s", Incarnation: 1, Sequence: 2}, at(4)},
		"other report of a start": {&catalog.Target{ID: "a", Service: "s", Incarnation: 1, Sequence: 2, Slots: 3}, at(4)},
		"later start, cold":       {&catalog.Target{ID: "a", Service: "s", Incarnation: 2, Sequence: 1, WarmupLeft: 3 * time.Second}, at(4.5)},
		"later start, warm":       {&catalog.Target{ID: "a", Service: "s", Incarnation: 2, Sequence: 1}, time.Time{}},
	}
	for name, test := range tests {
		var c catalog.Catalog
		c.Put(now, report(1, 1, 0))
		assert.True(t, c.PresumeRestart(now, "a", at(3)), name)
		assert.False(t, c.PresumeRestart(at(1), "a", at(4)), name)
		if test.next != nil {
			c.Put(at(1.5), *test.next)
		}
		assert.Equal(t, test.want, c.Get("a").ColdUntil, name)
		assert.False(t, c.PresumeRestart(now, "b", at(3)), "unknown target")
	}
}

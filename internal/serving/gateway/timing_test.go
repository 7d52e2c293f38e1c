package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/gateway"
)

// TestSettleAfterLeavesTheWayToTheCaller replays callers at several distances: the
// answer is on its way early enough for one that opened a connection first.
func TestSettleAfterLeavesTheWayToTheCaller(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct{ aim, roundTrip, want time.Duration }{
		"near":               {80 * ms, 2 * ms, 68 * ms},
		"not known":          {80 * ms, 0, 72 * ms},
		"further, short aim": {60 * ms, 7 * ms, 38 * ms},
		"too far":            {40 * ms, 30 * ms, 20 * ms},
	}
	for name, test := range tests {
		got := gateway.SoftDeadlineAfter(test.aim, test.roundTrip)
		assert.Equal(t, test.want, got, name)
	}
}

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

func TestSendersKeepsLargestRecentNumber(t *testing.T) {
	var s directory.Senders
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		after  time.Duration
		active int
		want   int
	}{
		{0, 0, 1},
		{time.Second, 84, 84},
		{2 * time.Second, 14, 84},
		{16 * time.Second, 14, 84},
		{17 * time.Second, 14, 14},
		{18 * time.Second, 15, 15},
		{19 * time.Second, 13, 15},
	} {
		got := s.Observe(start.Add(test.after), test.active)
		assert.Equal(t, test.want, got, "after %v", test.after)
	}
}

package directory_test

import (
	"slices"
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

// TestSilentHostsCountAsSenders guards against hosts that are cut off from each other, but not
// from the targets, and that each use the whole allowance for retries.
func TestSilentHostsCountAsSenders(t *testing.T) {
	small := hosts(map[string]int{"a": 3, "b": 3, "c": 3})
	large := mixedHosts(5, 2, 37)
	share := func([]directory.Host) directory.Share { return directory.ActiveShare(100, 1000) }
	tests := map[string]struct {
		alive, silent []directory.Host
		want          int
	}{
		"none silent":                {small, nil, 9},
		"all others silent":          {small[:1], small[1:], 9},
		"one silent":                 {small[1:], small[:1], 9},
		"few of many are active":     {large, nil, 10},
		"a data centre is silent":    {large[39:], large[:39], 10},
		"standby hosts are silent":   {slices.Concat(large[:2], large[39:]), large[2:39], 10},
		"alone, and none was silent": {small[:1], nil, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, directory.CountPossiblyActive(test.alive, test.silent, share))
		})
	}
}

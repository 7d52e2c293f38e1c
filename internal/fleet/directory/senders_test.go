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

// TestCountSenders guards against hosts that use more than their share of an allowance together:
// those that are cut off from each other, but not from the targets, and those on standby that
// become active one after another.
func TestCountSenders(t *testing.T) {
	small := hosts(map[string]int{"a": 3, "b": 3, "c": 3})
	large := mixedHosts(5, 2, 37)
	active, standby := large[0].Address, large[2].Address
	share := func([]directory.Host) directory.Share { return directory.ActiveShare(100, 1000) }
	tests := map[string]struct {
		address       string
		alive, silent []directory.Host
		want          int
	}{
		"none silent":                {small[0].Address, small, nil, 9},
		"all others silent":          {small[0].Address, small[:1], small[1:], 9},
		"one silent":                 {small[1].Address, small[1:], small[:1], 9},
		"alone, and none was silent": {small[0].Address, small[:1], nil, 1},
		"few of many are active":     {active, large, nil, 10},
		"a data centre is silent":    {large[39].Address, large[39:], large[:39], 10},
		"standby hosts are silent":   {active, slices.Concat(large[:2], large[39:]), large[2:39], 10},
		"on standby":                 {standby, large, nil, 194},
		"on standby, and all silent": {standby, large[:3], large[3:], 194},
		"stopping":                   {active, large[1:], nil, 194},
		"stopping, and alone":        {small[0].Address, nil, nil, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, directory.CountSenders(test.address, test.alive, test.silent, share))
		})
	}
}

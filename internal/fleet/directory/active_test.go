package directory_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

// site returns the hosts of data centres with a few large and many small hosts each.
func site(centres, large, small int) []directory.Host {
	var all []directory.Host
	for c := range centres {
		for n := range large + small {
			cores := 0.2
			if n < large {
				cores = 0.8
			}
			all = append(all, directory.Host{Address: fmt.Sprint("10.", c, ".0.", n), DataCentre: fmt.Sprint("c", c), Cores: cores})
		}
	}
	return all
}

func TestActiveTakesFewLargeHosts(t *testing.T) {
	all := site(3, 2, 18)
	got := directory.AppendActive(nil, all, directory.ActiveShare(5.2, 1000))
	count := map[string]int{}
	cores := map[string]float64{}
	for _, h := range got {
		count[h.DataCentre]++
		cores[h.DataCentre] += h.Cores
	}
	assert.Equal(t, map[string]int{"c0": 2, "c1": 2, "c2": 2}, count)
	assert.InDelta(t, 1.6, cores["c0"], 0.001, "both large hosts")
}

func TestActiveTakesAllHostsOfSmallDataCentres(t *testing.T) {
	for _, counts := range []map[string]int{{"a": 3, "b": 3, "c": 3}, {"a": 2, "b": 1}, {}} {
		all := hosts(counts)
		got := directory.AppendActive(nil, all, 0.3)
		assert.ElementsMatch(t, all, got)
	}
}

// TestActiveGrowsWithTheLoad replays callers that all wake: the hosts that carry them
// stay and others join, up to all of them.
func TestActiveGrowsWithTheLoad(t *testing.T) {
	all := site(1, 0, 140)
	const cores = 140 * 0.2
	before := 0
	var chosen []directory.Host
	for _, parts := range []float64{0, 10_000, 30_000, 60_000, 200_000} {
		got := directory.AppendActive(nil, all, directory.ActiveShare(cores, parts))
		assert.GreaterOrEqual(t, len(got), before)
		assert.GreaterOrEqual(t, 3000.0*0.2*float64(len(got)), min(parts, 3000*cores), "each core has its share of the load at most")
		for _, h := range chosen {
			assert.Contains(t, got, h)
		}
		before, chosen = len(got), got
	}
	assert.Len(t, chosen, 140)
}

func TestActiveChangesLittleWhenAHostFails(t *testing.T) {
	all := site(2, 0, 40)
	before := directory.AppendActive(nil, all, 0.3)
	lost := before[3]
	without := slices.DeleteFunc(slices.Clone(all), func(h directory.Host) bool { return h == lost })
	after := directory.AppendActive(nil, without, 0.3)
	for _, h := range before {
		if h != lost {
			assert.Contains(t, after, h)
		}
	}
	assert.LessOrEqual(t, len(after), len(before))
}

func TestShareIsWholeWhileNothingIsKnown(t *testing.T) {
	assert.InDelta(t, 1, directory.ActiveShare(0, 100), 0)
	assert.InDelta(t, 0.3, directory.ActiveShare(10, 0), 0)
}

package directory_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

// mixedHosts returns the hosts of several data centres, each with large and small hosts.
func mixedHosts(centres, large, small int) []directory.Host {
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

func TestActiveSelectsFewLargeHosts(t *testing.T) {
	all := mixedHosts(3, 2, 18)
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

// TestActiveAddsSmallHostsOnlyForLoad raises the load of data centres whose large hosts have
// less than the minimum share of the cores. Searches take longer on small hosts, so these
// serve callers only if the large ones cannot bear the load, or are too few.
func TestActiveAddsSmallHostsOnlyForLoad(t *testing.T) {
	all := mixedHosts(1, 3, 35)
	const cores = 3*0.8 + 35*0.2
	assert.Len(t, directory.AppendActive(nil, all, directory.ActiveShare(cores, 1000)), 3, "low load")
	assert.Len(t, directory.AppendActive(nil, all[1:], directory.ActiveShare(cores-0.8, 1000)), 2, "one large host lost")
	assert.Len(t, directory.AppendActive(nil, all[2:], directory.ActiveShare(cores-1.6, 1000)), 2, "two large hosts lost")
	got := directory.AppendActive(nil, all, directory.ActiveShare(cores, 12_000))
	assert.Len(t, got, 3+8, "4 cores are needed for 12,000 parts per second")
	same := mixedHosts(1, 0, 40)
	assert.InDelta(t, 12, len(directory.AppendActive(nil, same, directory.ActiveShare(8, 0))), 1, "the minimum share holds among equal hosts")
}

func TestActiveSelectsAllHostsOfSmallDataCentres(t *testing.T) {
	for _, counts := range []map[string]int{{"a": 3, "b": 3, "c": 3}, {"a": 2, "b": 1}, {}} {
		all := hosts(counts)
		got := directory.AppendActive(nil, all, directory.ActiveShare(10, 0))
		assert.ElementsMatch(t, all, got)
	}
}

// TestActiveGrowsWithLoad raises the load step by step, as when all callers become
// active: hosts that are active must stay active while others are added, up to all hosts.
func TestActiveGrowsWithLoad(t *testing.T) {
	all := mixedHosts(1, 0, 140)
	const cores = 140 * 0.2
	before := 0
	var chosen []directory.Host
	for _, parts := range []float64{0, 10_000, 30_000, 60_000, 200_000} {
		got := directory.AppendActive(nil, all, directory.ActiveShare(cores, parts))
		assert.GreaterOrEqual(t, len(got), before)
		assert.GreaterOrEqual(t, 3000.0*0.2*float64(len(got)), min(parts, 3000*cores), "no core gets more than its share of the load")
		for _, h := range chosen {
			assert.Contains(t, got, h)
		}
		before, chosen = len(got), got
	}
	assert.Len(t, chosen, 140)
}

func TestActiveKeepsOtherHostsWhenOneFails(t *testing.T) {
	all := mixedHosts(2, 0, 40)
	before := directory.AppendActive(nil, all, directory.ActiveShare(10, 0))
	lost := before[3]
	without := slices.DeleteFunc(slices.Clone(all), func(h directory.Host) bool { return h == lost })
	after := directory.AppendActive(nil, without, directory.ActiveShare(10, 0))
	for _, h := range before {
		if h != lost {
			assert.Contains(t, after, h)
		}
	}
	assert.LessOrEqual(t, len(after), len(before))
}

// TestActiveWhileLoadIsUnknown selects hosts as after a power cut, when no host knows the
// load. Large hosts serve first, unless they are only a small part of the fleet.
func TestActiveWhileLoadIsUnknown(t *testing.T) {
	var unknown directory.Share
	assert.Equal(t, unknown, directory.ActiveShare(0, 100))
	mixed := mixedHosts(1, 3, 35)
	assert.Len(t, directory.AppendActive(nil, mixed, unknown), 3)
	mostlySmall := mixedHosts(1, 1, 139)
	got := directory.AppendActive(nil, mostlySmall, unknown)
	assert.Len(t, got, 1+25, "0.2 of 28.6 cores")
	same := mixedHosts(1, 0, 40)
	assert.Len(t, directory.AppendActive(nil, same, unknown), len(same))
}

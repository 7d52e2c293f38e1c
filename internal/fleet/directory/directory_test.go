package directory_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

func hosts(counts map[string]int) []directory.Host {
	var all []directory.Host
	for _, centre := range []string{"a", "b", "c"} {
		for n := range counts[centre] {
			all = append(all, directory.Host{Address: fmt.Sprint(centre, n), DataCentre: centre})
		}
	}
	return all
}

func TestAppendAddresses(t *testing.T) {
	even := map[string]float64{"a": 0.68, "b": 0.7, "c": 0.66}
	tests := map[string]struct {
		centre   string
		hosts    map[string]int
		coverage map[string]float64
		maximum  int
		want     []string
	}{
		"own data centre":                      {"a", map[string]int{"a": 3, "b": 2}, even, 64, []string{"a0", "a1", "a2"}},
		"more than one host":                   {"a", map[string]int{"a": 1, "b": 2}, even, 64, []string{"a0", "b0", "b1"}},
		"no host in own data centre":           {"a", map[string]int{"b": 2}, even, 64, []string{"b0", "b1"}},
		"no targets in own data centre":        {"c", map[string]int{"a": 2, "b": 2, "c": 4}, map[string]float64{"a": 1, "b": 1, "c": 0.1}, 64, []string{"a0", "a1", "b0", "b1"}},
		"coverage not known":                   {"c", map[string]int{"a": 2, "c": 2}, nil, 64, []string{"c0", "c1"}},
		"few of many hosts in own data centre": {"a", map[string]int{"a": 2, "b": 10, "c": 0}, even, 64, []string{"a0", "a1", "b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"}},
		"no hosts":                             {"a", nil, even, 64, nil},
	}
	for name, test := range tests {
		got := directory.AppendAddresses(nil, test.centre, hosts(test.hosts), test.coverage, test.maximum, rand.New(rand.NewPCG(1, 1)))
		slices.Sort(got)
		assert.Equal(t, test.want, got, name)
	}
}

func TestAppendAddressesStopsAtMaximum(t *testing.T) {
	got := directory.AppendAddresses(nil, "a", hosts(map[string]int{"a": 90}), nil, 64, rand.New(rand.NewPCG(1, 1)))
	assert.Len(t, got, 64)
}

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

func TestChoose(t *testing.T) {
	even := map[string]float64{"a": 0.68, "b": 0.7, "c": 0.66}
	tests := map[string]struct {
		centre   string
		hosts    map[string]int
		coverage map[string]float64
		most     int
		want     []string
	}{
		"own data centre":              {"a", map[string]int{"a": 3, "b": 2}, even, 64, []string{"a0", "a1", "a2"}},
		"more than one host":           {"a", map[string]int{"a": 1, "b": 2}, even, 64, []string{"a0", "b0", "b1"}},
		"nobody at home":               {"a", map[string]int{"b": 2}, even, 64, []string{"b0", "b1"}},
		"no targets at home":           {"c", map[string]int{"a": 2, "b": 2, "c": 4}, map[string]float64{"a": 1, "b": 1, "c": 0.1}, 64, []string{"a0", "a1", "b0", "b1"}},
		"nothing known":                {"c", map[string]int{"a": 2, "c": 2}, nil, 64, []string{"c0", "c1"}},
		"few hosts at home of a fleet": {"a", map[string]int{"a": 2, "b": 10, "c": 0}, even, 64, []string{"a0", "a1", "b0", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9"}},
		"nobody":                       {"a", nil, even, 64, nil},
	}
	for name, test := range tests {
		got := directory.AppendAddresses(nil, test.centre, hosts(test.hosts), test.coverage, test.most, rand.New(rand.NewPCG(1, 1)))
		slices.Sort(got)
		assert.Equal(t, test.want, got, name)
	}
}

func TestChooseNamesNoMoreThanAskedFor(t *testing.T) {
	got := directory.AppendAddresses(nil, "a", hosts(map[string]int{"a": 90}), nil, 64, rand.New(rand.NewPCG(1, 1)))
	assert.Len(t, got, 64)
}

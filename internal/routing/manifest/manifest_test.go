package manifest_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/routing/manifest"
)

func TestRouteWithTheLongestPrefix(t *testing.T) {
	short := &manifest.Route{Name: "short", Host: "h", Prefix: "/a/"}
	long := &manifest.Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	m := manifest.New(1, []*manifest.Route{short, long}, nil, manifest.Limits{})
	tests := []struct {
		host, path string
		want       *manifest.Route
	}{
		{"h", "/a/x", short},
		{"h", "/a/b/x", long},
		{"h", "/a/b", short},
		{"h", "/a", nil},
		{"other", "/a/x", nil},
	}
	for _, test := range tests {
		assert.Same(t, test.want, m.Route(test.host, test.path), test)
	}
}

func TestLeastShardsOfAFloor(t *testing.T) {
	tests := []struct {
		shards int
		floor  float64
		want   int
	}{{20, 0.89, 18}, {20, 0.75, 15}, {30, 0.89, 27}, {90, 0.95, 86}, {3, 0, 1}, {3, 1, 3}, {1, 0.5, 1}}
	for _, test := range tests {
		r := manifest.Route{Shards: make([]string, test.shards), MinCoverage: test.floor}
		got := r.MinShards()
		assert.Equal(t, test.want, got, test)
		assert.GreaterOrEqual(t, float64(got)/float64(test.shards), test.floor)
	}
}

func TestSplitKeepsCloseToTheWeights(t *testing.T) {
	r := &manifest.Route{Name: "r", Split: []manifest.WeightedService{{Service: "a", Weight: 0.7}, {Service: "b", Weight: 0.25}, {Service: "c", Weight: 0.05}}}
	var s manifest.Splitter
	count := map[string]int{}
	for n := 1; n <= 1000; n++ {
		count[s.Pick(r)]++
		for _, w := range r.Split {
			assert.InDelta(t, w.Weight*float64(n), float64(count[w.Service]), 1.01)
		}
	}
}

func TestSplitStartsAnewWhenItsWeightsChange(t *testing.T) {
	before := &manifest.Route{Name: "r", Split: []manifest.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	after := &manifest.Route{Name: "r", Split: []manifest.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	var s manifest.Splitter
	s.Pick(before)
	s.Reconcile(manifest.New(1, []*manifest.Route{before}, nil, manifest.Limits{}), manifest.New(2, []*manifest.Route{after}, nil, manifest.Limits{}))
	count := map[string]int{}
	for range 100 {
		count[s.Pick(after)]++
	}
	assert.Equal(t, 90, count["a"])
}

func ExampleSplitter() {
	r := &manifest.Route{Name: "r", Split: []manifest.WeightedService{{Service: "old", Weight: 2}, {Service: "new", Weight: 1}}}
	var s manifest.Splitter
	for range 6 {
		fmt.Print(s.Pick(r), " ")
	}
	// Output: old new old old new old
}

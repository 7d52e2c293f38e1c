package snapshot_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/snapshot"
)

func holding(number, shardCount int) []snapshot.Holding {
	numbers := make([]int, shardCount)
	for i := range numbers {
		numbers[i] = i
	}
	return []snapshot.Holding{snapshot.NewHolding(number, shardCount, numbers)}
}

// TestUsableTargetsSetNumberOfShards has the first target of a service report fewer
// shards than the second one. A target that accepts no work must not make the others be
// ignored.
func TestUsableTargetsSetNumberOfShards(t *testing.T) {
	for _, test := range []struct {
		name   string
		usable []string
		shards int
		held   int
	}{
		{name: "both", usable: []string{"a", "b"}, shards: 2, held: 2},
		{name: "second", usable: []string{"b"}, shards: 3, held: 3},
		{name: "none", shards: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			var c snapshot.Catalog
			c.Update("a", 1, holding(7, 2))
			c.Update("b", 1, holding(7, 3))
			m := c.BestShardMap([]snapshot.Service{{Path: "s", Targets: []string{"a", "b"}}, {Path: "t", Targets: []string{"c"}}}, 0, func(target string) bool {
				for _, u := range test.usable {
					if u == target || target == "c" {
						return true
					}
				}
				return false
			})
			if test.usable == nil {
				assert.Nil(t, m)
				return
			}
			require.NotNil(t, m)
			assert.Len(t, m.Shards(), test.shards)
			assert.Equal(t, test.held, m.NumHeld())
			assert.Equal(t, []string{"t"}, m.Incomplete())
		})
	}
}

// TestRestrictKeepsShardsOfServices restricts a shard map to the services that another
// one maps incompletely.
func TestRestrictKeepsShardsOfServices(t *testing.T) {
	var c snapshot.Catalog
	services := []snapshot.Service{{Path: "s", Targets: []string{"a"}}, {Path: "t", Targets: []string{"b", "c"}}, {Path: "u", Targets: []string{"d"}}}
	all := func(string) bool { return true }
	for _, target := range []string{"a", "b", "c", "d"} {
		c.Update(target, 1, holding(1, 2))
	}
	older := c.BestShardMap(services, 0, all)
	c.Update("a", 2, holding(2, 3))
	c.Update("b", 2, []snapshot.Holding{snapshot.NewHolding(2, 2, []int{0})})
	newer := c.BestShardMap(services, 1, all)
	assert.Equal(t, []string{"u", "t"}, newer.Incomplete())
	got := older.Restrict(newer.Incomplete())
	assert.Equal(t, 1, got.Snapshot())
	assert.Len(t, got.Shards(), 4)
	assert.Equal(t, 4, got.NumHeld())
}

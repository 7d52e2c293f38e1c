package daemon

import (
	"slices"
	"strconv"
	"sync"

	"fescuerill/settings"
	"fescuerill/snapshot"
)

// planCache keeps the shard map of each scope until what it was made from
// changes. The zero value is empty.
type planCache struct {
	mu    sync.Mutex
	plans map[string]plan
}

type plan struct {
	generation uint64
	view       *settings.Resolved
	shards     *snapshot.ShardMap
}

// get returns the map of the best snapshot after the numbered one, or nil.
func (c *planCache) get(e *entry, v *settings.Resolved, scope string, after int) *snapshot.ShardMap {
	key := strconv.Itoa(after) + " " + scope
	generation := e.catalog.Generation()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.plans[key]; ok && p.generation == generation && p.view == v {
		return p.shards
	}
	m := e.catalog.BestShardMap(members(v, scope), after, func(path string) bool {
		b := v.Target(path)
		return b != nil && v.AcceptsWork(b)
	})
	if c.plans == nil || len(c.plans) > 4096 {
		c.plans = map[string]plan{}
	}
	c.plans[key] = plan{generation, v, m}
	return m
}

func members(v *settings.Resolved, scope string) []snapshot.Service {
	scoped := v.AppendServices(nil, scope)
	out := make([]snapshot.Service, len(scoped))
	for i, s := range scoped {
		out[i].Path = s.Path()
		for _, b := range s.Targets() {
			out[i].Targets = append(out[i].Targets, b.Path())
		}
	}
	return slices.Clip(out)
}

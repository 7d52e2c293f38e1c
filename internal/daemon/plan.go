package daemon

import (
	"slices"
	"strconv"
	"sync"

	"fescuerill/settings"
	"fescuerill/snapshot"
)

// planCache caches the shard map of each scope until its inputs change. The
// zero value is empty.
type planCache struct {
	mu    sync.Mutex
	plans map[string]plan
}

type plan struct {
	generation uint64
	settings   *settings.Resolved
	shards     *snapshot.ShardMap
}

// get returns the shard map of the best snapshot with a number above after, or
// nil.
func (p *planCache) get(c *coordinator, v *settings.Resolved, scope string, after int) *snapshot.ShardMap {
	key := strconv.Itoa(after) + " " + scope
	generation := c.catalog.Generation()
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.plans[key]; ok && cached.generation == generation && cached.settings == v {
		return cached.shards
	}
	m := c.catalog.BestShardMap(scopeServices(v, scope), after, func(path string) bool {
		t := v.Target(path)
		return t != nil && v.AcceptsWork(t)
	})
	if p.plans == nil || len(p.plans) > 4096 {
		p.plans = map[string]plan{}
	}
	p.plans[key] = plan{generation, v, m}
	return m
}

func scopeServices(v *settings.Resolved, scope string) []snapshot.Service {
	scoped := v.AppendServices(nil, scope)
	out := make([]snapshot.Service, len(scoped))
	for i, s := range scoped {
		out[i].Path = s.Path()
		for _, t := range s.Targets() {
			out[i].Targets = append(out[i].Targets, t.Path())
		}
	}
	return slices.Clip(out)
}

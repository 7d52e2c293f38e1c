package daemon

import (
	"slices"
	"strconv"
	"sync"

	"fescuerill/settings"
	"fescuerill/snapshot"
)

// shardMapCache caches the shard map of each scope until its inputs change. The
// zero value is empty.
type shardMapCache struct {
	mu      sync.Mutex
	entries map[string]cachedShardMap
}

// cachedShardMap is a shard map with the inputs from which it was computed.
type cachedShardMap struct {
	generation uint64
	settings   *settings.Resolved
	shards     *snapshot.ShardMap
}

// get returns the shard map of the best snapshot with a number above after, or
// nil.
func (s *shardMapCache) get(c *coordinator, v *settings.Resolved, scope string, after int) *snapshot.ShardMap {
	key := strconv.Itoa(after) + " " + scope
	generation := c.catalog.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, ok := s.entries[key]; ok && cached.generation == generation && cached.settings == v {
		return cached.shards
	}
	m := c.catalog.BestShardMap(scopeServices(v, scope), after, func(path string) bool {
		t := v.Target(path)
		return t != nil && v.AcceptsWork(t)
	})
	if s.entries == nil || len(s.entries) > 4096 {
		s.entries = map[string]cachedShardMap{}
	}
	s.entries[key] = cachedShardMap{generation, v, m}
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

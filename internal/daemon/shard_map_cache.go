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
func (s *shardMapCache) get(c *coordinator, resolved *settings.Resolved, scope string, after int) *snapshot.ShardMap {
	key := strconv.Itoa(after) + " " + scope
	generation := c.catalog.Generation()
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, ok := s.entries[key]; ok && cached.generation == generation && cached.settings == resolved {
		return cached.shards
	}
	m := c.catalog.BestShardMap(scopeServices(resolved, scope), after, func(path string) bool {
		t := resolved.Target(path)
		return t != nil && resolved.AcceptsWork(t)
	})
	if s.entries == nil || len(s.entries) > 4096 {
		s.entries = map[string]cachedShardMap{}
	}
	s.entries[key] = cachedShardMap{generation, resolved, m}
	return m
}

func scopeServices(resolved *settings.Resolved, scope string) []snapshot.Service {
	scoped := resolved.AppendServices(nil, scope)
	out := make([]snapshot.Service, len(scoped))
	for i, s := range scoped {
		out[i].Path = s.Path()
		for _, t := range s.Targets() {
			out[i].Targets = append(out[i].Targets, t.Path())
		}
	}
	return slices.Clip(out)
}

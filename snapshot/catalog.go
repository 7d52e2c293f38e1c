package snapshot

import (
	"slices"
	"sync"
)

// Holding is what one target holds of one snapshot.
type Holding struct {
	snapshot int
	shards   int
	held     []int
}

// NewHolding returns a holding of the numbered shards out of shards under the
// snapshot. Numbers outside 0 to shards-1 are left out.
func NewHolding(snapshot, shards int, held []int) Holding {
	kept := make([]int, 0, len(held))
	for _, s := range held {
		if s >= 0 && s < shards {
			kept = append(kept, s)
		}
	}
	return Holding{snapshot, shards, kept}
}

// Snapshot returns the sequence number of the snapshot.
func (h Holding) Snapshot() int { return h.snapshot }

// ShardCount returns the number of shards of the service under the snapshot.
func (h Holding) ShardCount() int { return h.shards }

// ShardNumbers returns the numbers of the shards held. The caller does not change it.
func (h Holding) ShardNumbers() []int { return h.held }

type entry struct {
	version  int
	holdings []Holding
}

// Catalog remembers the latest holdings of each target. The zero value knows
// of none. Its methods may be called from several goroutines.
type Catalog struct {
	mu         sync.RWMutex
	targets    map[string]entry
	generation uint64
}

// Update takes the holdings of a target under a version, which names their
// content. It reports whether they differ from what was known.
func (c *Catalog) Update(target string, version int, holdings []Holding) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.targets[target]; ok && version == old.version {
		return false
	}
	if c.targets == nil {
		c.targets = map[string]entry{}
	}
	c.targets[target] = entry{version, slices.Clone(holdings)}
	c.generation++
	return true
}

// Version returns the version of the holdings known of a target, 0 for none.
func (c *Catalog) Version(target string) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.targets[target].version
}

// Generation returns a number that changes with every update.
func (c *Catalog) Generation() uint64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.generation
}

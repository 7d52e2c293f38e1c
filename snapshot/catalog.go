package snapshot

import (
	"slices"
	"sync"
)

// Holding is the set of shards of one snapshot that a target holds.
type Holding struct {
	snapshot     int
	shardCount   int
	shardNumbers []int
}

// NewHolding returns a holding of the shards with the given numbers, out of shardCount
// shards of the service under the snapshot. Numbers outside 0 to shardCount-1 are
// dropped.
func NewHolding(snapshot, shardCount int, shardNumbers []int) Holding {
	kept := make([]int, 0, len(shardNumbers))
	for _, s := range shardNumbers {
		if s >= 0 && s < shardCount {
			kept = append(kept, s)
		}
	}
	return Holding{snapshot, shardCount, kept}
}

// Snapshot returns the sequence number of the snapshot.
func (h Holding) Snapshot() int { return h.snapshot }

// ShardCount returns the number of shards of the service under the snapshot.
func (h Holding) ShardCount() int { return h.shardCount }

// ShardNumbers returns the numbers of the shards that the target holds. The caller must
// not modify the slice.
func (h Holding) ShardNumbers() []int { return h.shardNumbers }

type entry struct {
	version  int
	holdings []Holding
}

// Catalog stores the latest holdings of each target. The zero value is empty. A Catalog
// is safe for concurrent use.
type Catalog struct {
	mu         sync.RWMutex
	targets    map[string]entry
	generation uint64
}

// Update stores the holdings of a target under a version, which identifies their
// content. It reports whether the version differs from the stored one.
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

// Version returns the version of the stored holdings of a target, 0 for none.
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

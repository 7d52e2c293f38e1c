package snapshot

import (
	"slices"
	"sort"
	"strconv"
)

// Service is a service and its targets.
type Service struct {
	Path    string
	Targets []string
}

// Shard is one shard of a service under a snapshot.
type Shard struct {
	name    string
	service string
	number  int
	holders []string
}

// Name returns the path of the shard, unique within a snapshot.
func (s Shard) Name() string { return s.name }

// Service returns the path of the service to which the shard belongs.
func (s Shard) Service() string { return s.service }

// Number returns the number of the shard within its service.
func (s Shard) Number() int { return s.number }

// Holders returns the targets that hold the shard. The caller must not modify the
// slice.
func (s Shard) Holders() []string { return s.holders }

// ShardMap is the map from the shards of some services to their holders under one
// snapshot. It is immutable.
type ShardMap struct {
	snapshot int
	shards   []Shard
	unmapped []string
}

// Snapshot returns the sequence number of the snapshot.
func (m *ShardMap) Snapshot() int { return m.snapshot }

// Shards returns all shards. A shard that no target holds has no holders.
func (m *ShardMap) Shards() []Shard { return m.shards }

// Unmapped returns the services whose division into shards under the snapshot has been
// reported by no target.
func (m *ShardMap) Unmapped() []string { return m.unmapped }

// NumHeld returns the number of shards that have a holder.
func (m *ShardMap) NumHeld() int {
	n := 0
	for _, s := range m.shards {
		if len(s.holders) > 0 {
			n++
		}
	}
	return n
}

// Incomplete returns the services that are unmapped or have a shard without a holder.
func (m *ShardMap) Incomplete() []string {
	services := slices.Clone(m.unmapped)
	for _, s := range m.shards {
		if len(s.holders) == 0 && !slices.Contains(services, s.service) {
			services = append(services, s.service)
		}
	}
	return services
}

// Restrict returns the shard map of those of the services that m maps to shards.
func (m *ShardMap) Restrict(services []string) *ShardMap {
	restricted := &ShardMap{snapshot: m.snapshot}
	for _, s := range m.shards {
		if slices.Contains(services, s.service) {
			restricted.shards = append(restricted.shards, s)
		}
	}
	return restricted
}

// heldFraction returns the fraction of all shards that have a holder. An unmapped
// service counts as one shard without a holder.
func (m *ShardMap) heldFraction() float64 {
	all := len(m.shards) + len(m.unmapped)
	if all == 0 {
		return 0
	}
	return float64(m.NumHeld()) / float64(all)
}

// BestShardMap returns the shard map of the snapshot, newer than after, under which the
// largest fraction of the shards of the services has a holder that usable accepts; of
// equal ones the newest. It returns nil when no such snapshot is known.
func (c *Catalog) BestShardMap(services []Service, after int, usable func(target string) bool) *ShardMap {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var best *ShardMap
	for _, number := range c.snapshots(services, usable) {
		if number <= after {
			break
		}
		m := c.shardMap(number, services, usable)
		if best == nil || m.heldFraction() > best.heldFraction() {
			best = m
		}
	}
	return best
}

// snapshots returns the sequence numbers known for the services, newest first.
func (c *Catalog) snapshots(services []Service, usable func(string) bool) []int {
	seen := map[int]bool{}
	for _, s := range services {
		for _, t := range s.Targets {
			if !usable(t) {
				continue
			}
			for _, h := range c.targets[t].holdings {
				seen[h.snapshot] = true
			}
		}
	}
	numbers := make([]int, 0, len(seen))
	for n := range seen {
		numbers = append(numbers, n)
	}
	sort.Sort(sort.Reverse(sort.IntSlice(numbers)))
	return numbers
}

func (c *Catalog) shardMap(number int, services []Service, usable func(string) bool) *ShardMap {
	m := &ShardMap{snapshot: number}
	for _, s := range services {
		shards := c.shardsOf(number, s, usable)
		if len(shards) == 0 {
			m.unmapped = append(m.unmapped, s.Path)
		}
		m.shards = append(m.shards, shards...)
	}
	return m
}

// shardsOf returns the shards of one service. Targets that disagree with the first usable
// one on the number of shards are ignored.
func (c *Catalog) shardsOf(number int, s Service, usable func(string) bool) []Shard {
	var shards []Shard
	counted := false
	for _, t := range s.Targets {
		holdings := c.targets[t].holdings
		i := slices.IndexFunc(holdings, func(h Holding) bool { return h.snapshot == number })
		if i < 0 {
			continue
		}
		accepted := usable(t)
		if shards == nil || accepted && !counted {
			shards = newShards(s.Path, holdings[i].shardCount)
			counted = accepted
		}
		if holdings[i].shardCount != len(shards) || !accepted {
			continue
		}
		for _, n := range holdings[i].shardNumbers {
			shards[n].holders = append(shards[n].holders, t)
		}
	}
	return shards
}

func newShards(service string, count int) []Shard {
	shards := make([]Shard, count)
	for i := range shards {
		shards[i] = Shard{name: service + "/" + strconv.Itoa(i), service: service, number: i}
	}
	return shards
}

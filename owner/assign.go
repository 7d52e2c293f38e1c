package owner

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxLoadFactor, times the even share, is the maximum number of targets that a host
// owns.
const maxLoadFactor = 1.25

// Host is a host to which targets are assigned.
type Host struct {
	ID, DataCentre string
}

// Target is a target to assign. The targets of one service hold replicas of the same
// shards.
type Target struct {
	Path, Service, DataCentre string
}

type candidate struct {
	Host
	hash        uint64
	centreIndex int
	owned       int
}

type assigner struct {
	hosts           []candidate
	maxOwned        int
	centreIndexes   map[string]int
	ownersByService map[string][]int
}

// Assign sets the owner of each target in dst and returns dst, which it allocates if it
// is nil. The result depends only on the sets of hosts and targets, not on their order.
// Hosts in the data centre of the target are preferred; a host owns at most 1.25 times
// the even share, and the targets of one service go to different hosts if there are
// enough hosts. Without hosts no target has an owner.
func Assign(dst map[string]string, hosts []Host, targets []Target) map[string]string {
	if dst == nil {
		dst = make(map[string]string, len(targets))
	}
	clear(dst)
	if len(hosts) == 0 {
		return dst
	}
	a := newAssigner(hosts, len(targets))
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(x, y Target) int { return strings.Compare(x.Path, y.Path) })
	for _, t := range ordered {
		i := a.choose(t)
		a.hosts[i].owned++
		a.ownersByService[t.Service] = append(a.ownersByService[t.Service], i)
		dst[t.Path] = a.hosts[i].ID
	}
	return dst
}

func newAssigner(hosts []Host, targets int) *assigner {
	a := &assigner{ownersByService: map[string][]int{}, centreIndexes: map[string]int{}}
	for _, h := range hosts {
		if _, ok := a.centreIndexes[h.DataCentre]; !ok {
			a.centreIndexes[h.DataCentre] = len(a.centreIndexes) + 1
		}
		a.hosts = append(a.hosts, candidate{Host: h, hash: xxhash.Sum64String(h.ID), centreIndex: a.centreIndexes[h.DataCentre]})
	}
	slices.SortFunc(a.hosts, func(x, y candidate) int { return strings.Compare(x.ID, y.ID) })
	a.maxOwned = int(maxLoadFactor*float64(targets)/float64(len(hosts))) + 1
	return a
}

// choose returns the best host for the target. If the rules cannot all be met, those of
// lower weight are relaxed first.
func (a *assigner) choose(t Target) int {
	hash := xxhash.Sum64String(t.Path)
	centre, sameService := a.centreIndexes[t.DataCentre], a.ownersByService[t.Service]
	best, bestRank, bestScore := 0, -1, uint64(0)
	for i := range a.hosts {
		h := &a.hosts[i]
		rank := a.rank(i, centre, sameService)
		if rank < bestRank {
			continue
		}
		score := mix(hash ^ h.hash)
		if rank > bestRank || score > bestScore {
			best, bestRank, bestScore = i, rank, score
		}
	}
	return best
}

// rank weighs the rules: replicas of one service on different hosts first, then the
// load limit, then the data centre. The hosts in sameService own other targets of the
// service.
func (a *assigner) rank(i, centre int, sameService []int) int {
	rank := 0
	if !slices.Contains(sameService, i) {
		rank += 4
	}
	if a.hosts[i].owned < a.maxOwned {
		rank += 2
	}
	if a.hosts[i].centreIndex == centre {
		rank++
	}
	return rank
}

// mix spreads the bits of x. It is the finaliser of SplitMix64: G. Steele, D. Lea and
// C. Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RendezvousWeight returns the weight of a host for a key by rendezvous hashing. All
// hosts that know the same hosts agree on the one with the highest weight.
func RendezvousWeight(key, host string) uint64 {
	return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(host))
}

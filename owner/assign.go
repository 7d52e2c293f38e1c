package owner

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// loadBound is the factor over the even share that a host owns at most.
const loadBound = 1.25

// Host is a host among which targets are divided.
type Host struct {
	ID, DataCentre string
}

// Target is a target to be owned. Targets of one service hold replicas of the
// same shards.
type Target struct {
	Path, Service, DataCentre string
}

type ranked struct {
	Host
	hash   uint64
	centre int
	owned  int
}

type division struct {
	hosts    []ranked
	bound    int
	centres  map[string]int
	services map[string][]int
}

// Assign sets in dst the owner of each target, and returns dst, which is made
// when it is nil. The result depends on the sets of hosts and targets alone,
// not on their order. Hosts in the target's data centre go first; a host owns
// at most 1.25 times the even share, and targets of one service go to
// different hosts as far as there are enough. Without hosts nothing is owned.
func Assign(dst map[string]string, hosts []Host, targets []Target) map[string]string {
	if dst == nil {
		dst = make(map[string]string, len(targets))
	}
	clear(dst)
	if len(hosts) == 0 {
		return dst
	}
	d := newDivision(hosts, len(targets))
	ordered := slices.Clone(targets)
	slices.SortFunc(ordered, func(a, b Target) int { return strings.Compare(a.Path, b.Path) })
	for _, t := range ordered {
		i := d.choose(t)
		d.hosts[i].owned++
		d.services[t.Service] = append(d.services[t.Service], i)
		dst[t.Path] = d.hosts[i].ID
	}
	return dst
}

func newDivision(hosts []Host, targets int) *division {
	d := &division{services: map[string][]int{}, centres: map[string]int{}}
	for _, h := range hosts {
		if _, ok := d.centres[h.DataCentre]; !ok {
			d.centres[h.DataCentre] = len(d.centres) + 1
		}
		d.hosts = append(d.hosts, ranked{Host: h, hash: xxhash.Sum64String(h.ID), centre: d.centres[h.DataCentre]})
	}
	slices.SortFunc(d.hosts, func(a, b ranked) int { return strings.Compare(a.ID, b.ID) })
	d.bound = int(loadBound*float64(targets)/float64(len(hosts))) + 1
	return d
}

// choose returns the host that suits the target best: rules that cannot all be
// kept are given up in the order of preference.
func (d *division) choose(t Target) int {
	hash := xxhash.Sum64String(t.Path)
	centre, taken := d.centres[t.DataCentre], d.services[t.Service]
	best, bestRank, bestScore := 0, -1, uint64(0)
	for i := range d.hosts {
		h := &d.hosts[i]
		rank := d.rank(i, centre, taken)
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

// rank weighs the rules: apart from replicas first, then the load bound, then
// the data centre. Taken are the hosts that own other targets of the service.
func (d *division) rank(i, centre int, taken []int) int {
	rank := 0
	if !slices.Contains(taken, i) {
		rank += 4
	}
	if d.hosts[i].owned < d.bound {
		rank += 2
	}
	if d.hosts[i].centre == centre {
		rank++
	}
	return rank
}

// mix spreads the bits of x. It is the finalizer of SplitMix64: G. Steele, D.
// Lea and C. Flood, "Fast Splittable Pseudorandom Number Generators", OOPSLA
// 2014.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// RendezvousWeight returns the weight of a host for something, by rendezvous hashing: the
// host with the greatest is the first choice of all who know the same hosts.
func RendezvousWeight(something, host string) uint64 {
	return mix(xxhash.Sum64String(something) ^ xxhash.Sum64String(host))
}

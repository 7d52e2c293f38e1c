package directory

import (
	"cmp"
	"slices"

	"fescuerill/owner"
)

const (
	// activeLeast is the number of hosts of a data centre that carry its callers, if
	// there are so many, so that no host is needed. Of large hosts activeLarge are
	// enough beside much smaller ones, of which smallShare says how small they are: an
	// answer takes longer on those.
	activeLeast = 3
	activeLarge = 2
	smallShare  = 0.5
	// activeShare is the share of the cores of a data centre that carry its callers
	// while there is little load, so that a sudden one finds room.
	activeShare = 0.3
	// partsPerCore is the number of parts that a core sends a second at moderate use.
	partsPerCore = 3000.0
)

// ActiveShare returns the share of the cores of a data centre that are to carry its
// callers, given its cores and the parts that its hosts send a second.
func ActiveShare(cores, parts float64) float64 {
	if cores <= 0 {
		return 1
	}
	return min(1, max(activeShare, parts/(partsPerCore*cores)))
}

// AppendActive appends to dst the hosts that are to carry callers: in each data centre the
// fewest that have the share of its cores. Few hosts know the targets better than
// many that each see little of them, keep their connections in use and need fewer.
// Hosts with more cores come first, then the order is that of rendezvous hashing, so
// that all hosts choose nearly the same ones without agreement, and the next in order
// stands in for one that fails.
func AppendActive(dst []Host, hosts []Host, share float64) []Host {
	cores := map[string]float64{}
	for _, h := range hosts {
		cores[h.DataCentre] += h.Cores
	}
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(owner.RendezvousWeight(b.DataCentre, b.Address), owner.RendezvousWeight(a.DataCentre, a.Address)))
	})
	count := map[string]int{}
	taken := map[string]float64{}
	largest := map[string]float64{}
	for _, h := range ordered {
		largest[h.DataCentre] = max(largest[h.DataCentre], h.Cores)
		least := activeLeast
		if h.Cores < smallShare*largest[h.DataCentre] {
			least = activeLarge
		}
		if count[h.DataCentre] >= least && taken[h.DataCentre] >= share*cores[h.DataCentre] {
			continue
		}
		count[h.DataCentre]++
		taken[h.DataCentre] += h.Cores
		dst = append(dst, h)
	}
	return dst
}

package directory

import (
	"cmp"
	"slices"

	"fescuerill/owner"
)

const (
	// minActive is the minimum number of active hosts in a data centre that has that
	// many, so that callers are served when any one of them fails. If the others have
	// less than smallHostRatio of the cores of the largest host, minActiveLarge large
	// hosts are enough, because answers take longer on the small ones.
	minActive      = 3
	minActiveLarge = 2
	smallHostRatio = 0.5
	// minActiveShare is the share of the cores of a data centre that belongs to active
	// hosts at low load, so that there is capacity for a sudden rise. Small hosts are not
	// added for it, only for the load: a search that they serve takes longer, while the
	// large ones are hardly in use.
	minActiveShare = 0.3
	// partsPerSecondPerCore is the number of parts that a core sends per second at
	// moderate utilisation.
	partsPerSecondPerCore = 3000.0
)

// ActiveShare returns the share of the cores of a data centre that its load requires, given
// the number of its cores and of the parts that its hosts send per second. If no cores are
// known, the share is 1.
func ActiveShare(cores, parts float64) float64 {
	if cores <= 0 {
		return 1
	}
	return min(1, parts/(partsPerSecondPerCore*cores))
}

// AppendActive appends to dst the hosts that should serve callers: in each data centre the
// smallest number of hosts that has the given share of its cores, or minActiveShare if that is
// more. With few active hosts,
// each sees more of the traffic and so has better statistics of the targets, and fewer
// connections are needed and kept in use. Hosts with more cores come first, hosts with
// equally many in the order of rendezvous hashing, so that all hosts select nearly the
// same ones without coordination, and the next in order replaces one that fails.
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
	selected := map[string]float64{}
	largest := map[string]float64{}
	for _, h := range ordered {
		largest[h.DataCentre] = max(largest[h.DataCentre], h.Cores)
		minimum, required := minActive, max(minActiveShare, share)
		if h.Cores < smallHostRatio*largest[h.DataCentre] {
			minimum, required = minActiveLarge, share
		}
		if count[h.DataCentre] >= minimum && selected[h.DataCentre] >= required*cores[h.DataCentre] {
			continue
		}
		count[h.DataCentre]++
		selected[h.DataCentre] += h.Cores
		dst = append(dst, h)
	}
	return dst
}

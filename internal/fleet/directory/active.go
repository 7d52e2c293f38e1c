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
	// unknownLoadShare is the share of the cores up to which small hosts are added to the
	// large ones while the load is unknown. That is so after a start, when small hosts take
	// longest.
	unknownLoadShare = 0.2
	// partsPerSecondPerCore is the number of parts that a core sends per second at
	// moderate utilisation.
	partsPerSecondPerCore = 3000.0
)

// Share is the share of the cores of a data centre that its load requires. The zero value is
// an unknown share.
type Share struct {
	known bool
	load  float64
}

// ActiveShare returns the share that is required by a load, given the number of cores of the
// data centre and of the parts that its hosts send per second. If no cores are known, the
// share is unknown.
func ActiveShare(cores, parts float64) Share {
	if cores <= 0 {
		return Share{}
	}
	return Share{known: true, load: min(1, parts/(partsPerSecondPerCore*cores))}
}

// required returns the share of the cores up to which hosts are added, large or small ones.
func (s Share) required(small bool) float64 {
	switch {
	case !s.known && small:
		return unknownLoadShare
	case !s.known:
		return 1
	case small:
		return s.load
	}
	return max(minActiveShare, s.load)
}

// AppendActive appends to dst the hosts that should serve callers: in each data centre the
// smallest number of hosts that has the given share of its cores, or minActiveShare if that is
// more. While the share is unknown, these are all hosts but the small ones. With few active hosts,
// each sees more of the traffic and so has better statistics of the targets, and fewer
// connections are needed and kept in use. Hosts with more cores come first, hosts with
// equally many in the order of rendezvous hashing, so that all hosts select nearly the
// same ones without coordination, and the next in order replaces one that fails.
func AppendActive(dst []Host, hosts []Host, share Share) []Host {
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
		small := h.Cores < smallHostRatio*largest[h.DataCentre]
		minimum := minActive
		if small {
			minimum = minActiveLarge
		}
		if count[h.DataCentre] >= minimum && selected[h.DataCentre] >= share.required(small)*cores[h.DataCentre] {
			continue
		}
		count[h.DataCentre]++
		selected[h.DataCentre] += h.Cores
		dst = append(dst, h)
	}
	return dst
}

package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// leastHosts is the number of hosts that an answer names if there are so
	// many, so that a caller has others when one fails.
	leastHosts = 2
	// leastShare is the share of the fleet that an answer names at least, so that
	// few hosts do not carry the callers of many.
	leastShare = 0.2
	// coverMargin is how much less of the services the callers' own data centre
	// may hold than the best.
	coverMargin = 0.1
)

// Host is a host that serves callers.
type Host struct {
	Address    string
	DataCentre string
	// Cores is the processor cores that it may use.
	Cores float64
}

// AppendAddresses appends to dst the addresses of the hosts for callers in a data centre,
// at most a number of them. Hosts in the callers' own data centre go first if it
// holds targets of nearly all services; otherwise those where most targets are,
// since an answer is made of many parts and is shorter than they are. coverage
// is the share of the services that has a target in each data centre.
func AppendAddresses(dst []string, dataCentre string, hosts []Host, coverage map[string]float64, most int, random *rand.Rand) []string {
	best := 0.0
	for _, c := range coverage {
		best = max(best, c)
	}
	rank := func(centre string) int {
		covered := coverage[centre] >= best-coverMargin
		switch {
		case covered && centre == dataCentre:
			return 0
		case covered:
			return 1
		case centre == dataCentre:
			return 2
		}
		return 3
	}
	ordered := slices.Clone(hosts)
	random.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Host) int { return cmp.Compare(rank(a.DataCentre), rank(b.DataCentre)) })
	least := max(leastHosts, int(leastShare*float64(len(hosts))+0.999))
	taken := 0
	for i, h := range ordered {
		if taken >= most || taken >= least && rank(h.DataCentre) > rank(ordered[i-1].DataCentre) {
			break
		}
		dst = append(dst, h.Address)
		taken++
	}
	return dst
}

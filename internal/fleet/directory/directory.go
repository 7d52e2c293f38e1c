package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

const (
	// minHosts is the minimum number of hosts in an answer, if there are that
	// many, so that a caller has another host when one fails.
	minHosts = 2
	// minHostShare is the minimum share of the hosts in an answer, so that the
	// callers of a large fleet are not all sent to a few hosts.
	minHostShare = 0.2
	// coverageMargin is how far the coverage of a data centre may be below the
	// best one for it to be preferred still.
	coverageMargin = 0.1
)

// Host is a host that serves callers.
type Host struct {
	Address    string
	DataCentre string
	// Cores is the number of processor cores available to the host.
	Cores float64
}

// AppendAddresses appends to dst the addresses of up to maxAddresses hosts for callers in a
// data centre. Hosts in the callers' own data centre come first if its coverage is close
// to the best, otherwise those in the data centres with the best coverage: an answer is
// merged from many parts and smaller than these, so it costs less to send to another
// data centre. coverage is the share of the services that have a target in each data
// centre.
func AppendAddresses(dst []string, dataCentre string, hosts []Host, coverage map[string]float64, maxAddresses int, random *rand.Rand) []string {
	best := 0.0
	for _, c := range coverage {
		best = max(best, c)
	}
	priority := func(centre string) int {
		covered := coverage[centre] >= best-coverageMargin
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
	slices.SortStableFunc(ordered, func(a, b Host) int { return cmp.Compare(priority(a.DataCentre), priority(b.DataCentre)) })
	minimum := max(minHosts, int(minHostShare*float64(len(hosts))+0.999))
	count := 0
	for i, h := range ordered {
		if count >= maxAddresses || count >= minimum && priority(h.DataCentre) > priority(ordered[i-1].DataCentre) {
			break
		}
		dst = append(dst, h.Address)
		count++
	}
	return dst
}

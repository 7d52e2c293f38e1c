package peers

import "time"

// nextProbes returns the hosts to probe now: the one whose turn it is, and one out of turn
// because another was observed in the wrong state. The caller must hold p.mu.
func (p *Peers) nextProbes(now time.Time) []string {
	var due []string
	if id := p.members.Tick(now); id != "" {
		due = append(due, id)
	}
	if id := p.members.FollowUp(now, func(id string) bool { return p.followUpEligible(now, id) }); id != "" {
		p.stats.Add("follow-up-probes", 1)
		due = append(due, id)
	}
	return due
}

// followUpEligible reports whether a host may be probed out of turn. While the whole data
// centre of a host is down, or may be, a few of its hosts are probed on behalf of all. The
// caller must hold p.mu.
func (p *Peers) followUpEligible(now time.Time, id string) bool {
	dataCentre := p.dataCentres[id]
	return p.outages.Reachable(now, dataCentre) && !p.recovering[dataCentre]
}

// wakeTick makes the loop that sends probes check at once whether one is due.
func (p *Peers) wakeTick() {
	select {
	case p.probesDue <- struct{}{}:
	default:
	}
}

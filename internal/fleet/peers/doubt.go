package peers

import (
	"time"

	"fescuerill/host"
)

// checkDataCentre takes that a host does not answer: the reason may be that its whole data
// centre is lost.
func (p *Peers) checkDataCentre(about string) {
	p.mu.Lock()
	centre := p.centres[about]
	hosts := p.aliveIn(centre)
	ask := centre != p.self.DataCentre && len(hosts) >= minOutageHosts && p.outages.Suspect(time.Now(), centre)
	p.mu.Unlock()
	if !ask {
		return
	}
	for _, h := range hosts[:min(len(hosts), probesPerSuspicion)] {
		p.probe(h, "", 0)
	}
	time.AfterFunc(suspicionTimeout, func() { p.confirmOutage(centre) })
}

// aliveIn returns the hosts of a data centre that were alive when last heard, in no
// order. Peers is locked.
func (p *Peers) aliveIn(centre string) []string {
	var all []string
	p.members.Each(func(n host.Update) {
		if p.centres[n.ID] == centre && n.State == host.Alive {
			all = append(all, n.ID)
		}
	})
	return all
}

func (p *Peers) confirmOutage(centre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() == nil && p.outages.Confirm(time.Now(), centre) {
		p.stats.Add("data-centres-lost", 1)
		p.log.Warn("data centre lost", "data-centre", centre, "hosts", len(p.aliveIn(centre)))
	}
}

// probeRecovered probes the hosts of a data centre that was lost, to learn which are there;
// those that are not heard are probed a few times more.
func (p *Peers) probeRecovered(centre string, round int) {
	var silent []string
	p.mu.Lock()
	p.members.Each(func(n host.Update) {
		if p.centres[n.ID] == centre && p.state(n) != host.Alive {
			silent = append(silent, n.ID)
		}
	})
	p.mu.Unlock()
	if round == 1 {
		p.log.Info("data centre back", "data-centre", centre, "silent", len(silent))
	}
	p.ProbeAll(silent)
	if round < maxRecoveryRounds && p.ctx.Err() == nil {
		time.AfterFunc(suspicionTimeout, func() { p.probeRecovered(centre, round+1) })
	}
}

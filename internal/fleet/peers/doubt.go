package peers

import (
	"time"

	"fescuerill/host"
)

// doubt takes that a host does not answer: the reason may be that its whole data
// centre is lost.
func (p *Peers) doubt(about string) {
	p.mu.Lock()
	centre := p.centres[about]
	hosts := p.hostsOf(centre)
	ask := centre != p.self.DataCentre && len(hosts) >= outageLeast && p.outages.Doubt(time.Now(), centre)
	p.mu.Unlock()
	if !ask {
		return
	}
	for _, h := range hosts[:min(len(hosts), doubtProbes)] {
		p.probe(h, "", 0)
	}
	time.AfterFunc(doubtTime, func() { p.judge(centre) })
}

// hostsOf returns the hosts of a data centre that were alive when last heard, in no
// order. Peers is locked.
func (p *Peers) hostsOf(centre string) []string {
	var all []string
	p.members.Each(func(n host.Update) {
		if p.centres[n.ID] == centre && n.State == host.Alive {
			all = append(all, n.ID)
		}
	})
	return all
}

func (p *Peers) judge(centre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() == nil && p.outages.Judge(time.Now(), centre) {
		p.tally.Add("data-centres-lost", 1)
		p.log.Warn("data centre lost", "data-centre", centre, "hosts", len(p.hostsOf(centre)))
	}
}

// back probes the hosts of a data centre that was lost, to learn which are there;
// those that are not heard are probed a few times more.
func (p *Peers) back(centre string, round int) {
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
	if round < backRounds && p.ctx.Err() == nil {
		time.AfterFunc(doubtTime, func() { p.back(centre, round+1) })
	}
}

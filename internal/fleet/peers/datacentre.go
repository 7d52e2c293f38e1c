package peers

import (
	"time"

	"fescuerill/host"
)

// checkDataCentre probes several hosts of the data centre of a host that did not answer,
// as the whole data centre may be unreachable.
func (p *Peers) checkDataCentre(address string) {
	p.mu.Lock()
	dataCentre := p.dataCentres[address]
	hosts := p.aliveIn(dataCentre)
	suspected := dataCentre != p.self.DataCentre && len(hosts) >= minOutageHosts && p.outages.Suspect(time.Now(), dataCentre)
	p.mu.Unlock()
	if !suspected {
		return
	}
	for _, h := range hosts[:min(len(hosts), probesPerSuspicion)] {
		p.probe(h, "", 0)
	}
	time.AfterFunc(suspicionTimeout, func() { p.confirmOutage(dataCentre) })
}

// aliveIn returns the addresses of the hosts of a data centre that are considered alive,
// in no particular order. It includes hosts that are down only with their data centre.
// The caller must hold p.mu.
func (p *Peers) aliveIn(dataCentre string) []string {
	var all []string
	p.members.Each(func(u host.Update) {
		if p.dataCentres[u.ID] == dataCentre && u.State == host.Alive {
			all = append(all, u.ID)
		}
	})
	return all
}

func (p *Peers) confirmOutage(dataCentre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() == nil && p.outages.Confirm(time.Now(), dataCentre) {
		p.stats.Add("data-centres-lost", 1)
		p.log.Warn("data centre lost", "data-centre", dataCentre, "hosts", len(p.aliveIn(dataCentre)))
	}
}

// probeRecovered probes the hosts of a data centre that is reachable again, to find which
// of them are alive. Those that do not answer are probed again, in up to
// maxRecoveryRounds rounds.
func (p *Peers) probeRecovered(dataCentre string, round int) {
	var silent []string
	p.mu.Lock()
	p.members.Each(func(u host.Update) {
		if p.dataCentres[u.ID] == dataCentre && p.state(u) != host.Alive {
			silent = append(silent, u.ID)
		}
	})
	p.mu.Unlock()
	if round == 1 {
		p.log.Info("data centre back", "data-centre", dataCentre, "silent", len(silent))
	}
	p.ProbeAll(silent)
	if round < maxRecoveryRounds && p.ctx.Err() == nil {
		time.AfterFunc(suspicionTimeout, func() { p.probeRecovered(dataCentre, round+1) })
	}
}

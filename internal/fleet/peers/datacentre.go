package peers

import (
	"cmp"
	"slices"
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

// probeRecovered probes hosts of a data centre that is reachable again, to find which of them
// are alive, unless that is under way already: a path that carries one direction only makes
// the data centre heard and lost in turn.
func (p *Peers) probeRecovered(dataCentre string) {
	p.mu.Lock()
	running := p.recovering[dataCentre]
	p.recovering[dataCentre] = true
	silent := len(p.silentIn(dataCentre))
	p.mu.Unlock()
	p.log.Info("data centre back", "data-centre", dataCentre, "silent", silent, "probed", !running)
	if !running {
		p.probeSilent(dataCentre, 1)
	}
}

// probeSilent probes up to probesPerRecoveryRound of the silent hosts of a data centre, and
// again, in up to maxRecoveryRounds rounds, those that have not answered or been probed.
func (p *Peers) probeSilent(dataCentre string, round int) {
	p.mu.Lock()
	silent := p.silentIn(dataCentre)
	p.mu.Unlock()
	p.ProbeAll(silent[:min(len(silent), probesPerRecoveryRound)])
	if round < maxRecoveryRounds && p.ctx.Err() == nil {
		time.AfterFunc(suspicionTimeout, func() { p.probeSilent(dataCentre, round+1) })
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.recovering, dataCentre)
}

// silentIn returns the addresses of the hosts of a data centre that are not considered alive:
// those with the most cores first, as they serve callers, and equal ones in no particular
// order. The caller must hold p.mu.
func (p *Peers) silentIn(dataCentre string) []string {
	var silent []string
	p.members.Each(func(u host.Update) {
		if p.dataCentres[u.ID] == dataCentre && p.state(u) != host.Alive {
			silent = append(silent, u.ID)
		}
	})
	slices.SortStableFunc(silent, func(a, b string) int { return cmp.Compare(p.cores[b], p.cores[a]) })
	return silent
}

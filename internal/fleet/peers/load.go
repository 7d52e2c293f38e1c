package peers

import (
	"time"

	"fescuerill/internal/schema/fleet"
)

const (
	// loadValid is how long the load of a host counts after it told it.
	loadValid = 3 * time.Second
	// loadGain is the weight of the last period in the load of this host, when it
	// falls. A load that rises counts at once.
	loadGain = 0.1
)

// loads is what is known of how many parts the hosts send. Hosts tell their guide
// when they ask it for the store, and it answers with the sum for their data centre.
type loads struct {
	own   float64
	hosts map[string]load
	// told is the sum that the guide told.
	told load
}

type load struct {
	dataCentre string
	parts      float64
	at         time.Time
}

// fresh reports whether the load still counts.
func (l load) fresh(now time.Time) bool { return !l.at.IsZero() && now.Sub(l.at) <= loadValid }

// SetLoad takes how many parts a second this host sent in the last period.
func (p *Peers) SetLoad(parts float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.own = max(parts, p.loads.own+loadGain*(parts-p.loads.own))
}

func (p *Peers) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.own
}

// Load returns how many parts a second the hosts of this data centre send, and false
// if that is not known.
func (p *Peers) Load(now time.Time) (float64, bool) {
	if _, guided := p.guide(); !guided {
		return p.sumLoad(now, p.self.DataCentre), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.told.parts, p.loads.told.fresh(now)
}

// tallyLoad takes the load of a host that asks this one and returns the load of its
// data centre.
func (p *Peers) tallyLoad(now time.Time, m fleet.UpdateRequest) float64 {
	p.mu.Lock()
	if p.loads.hosts == nil {
		p.loads.hosts = map[string]load{}
	}
	p.loads.hosts[m.From] = load{dataCentre: m.DataCentre, parts: m.PartsPerSecond, at: now}
	p.mu.Unlock()
	return p.sumLoad(now, m.DataCentre)
}

func (p *Peers) sumLoad(now time.Time, dataCentre string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	if dataCentre == p.self.DataCentre {
		sum = p.loads.own
	}
	for from, l := range p.loads.hosts {
		switch {
		case !l.fresh(now):
			delete(p.loads.hosts, from)
		case l.dataCentre == dataCentre:
			sum += l.parts
		}
	}
	return sum
}

// toldLoad takes the load of this data centre as the guide told it.
func (p *Peers) toldLoad(now time.Time, parts float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.told = load{parts: parts, at: now}
}

package peers

import (
	"time"

	"fescuerill/internal/schema/fleet"
)

const (
	// loadTTL is how long a reported load is valid.
	loadTTL = 3 * time.Second
	// loadSmoothing is the weight of the last period in the moving average of the load
	// of this host when the load falls. A rise takes effect at once.
	loadSmoothing = 0.1
)

// loads holds the loads of the hosts, in parts sent per second. A host reports its load
// with each update request to its designated reader, and the reply has the sum for its
// data centre.
type loads struct {
	own   float64
	hosts map[string]load
	// total is the sum that the designated reader reported last.
	total load
}

// load is a load in parts per second, as reported at a time.
type load struct {
	dataCentre string
	parts      float64
	at         time.Time
}

// valid reports whether the load is recent enough to use.
func (l load) valid(now time.Time) bool { return !l.at.IsZero() && now.Sub(l.at) <= loadTTL }

// SetLoad records the number of parts per second that this host sent in the last period.
func (p *Peers) SetLoad(parts float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.own = max(parts, p.loads.own+loadSmoothing*(parts-p.loads.own))
}

func (p *Peers) ownLoad() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.own
}

// Load returns the number of parts per second that the hosts of this data centre send,
// and whether it is known.
func (p *Peers) Load(now time.Time) (float64, bool) {
	if _, hasReader := p.reader(); !hasReader {
		return p.totalLoad(now, p.self.DataCentre), true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loads.total.parts, p.loads.total.valid(now)
}

// recordLoad records the load of a host that requests an update and returns the load of
// its data centre.
func (p *Peers) recordLoad(now time.Time, request fleet.UpdateRequest) float64 {
	p.mu.Lock()
	if p.loads.hosts == nil {
		p.loads.hosts = map[string]load{}
	}
	p.loads.hosts[request.From] = load{dataCentre: request.DataCentre, parts: request.PartsPerSecond, at: now}
	p.mu.Unlock()
	return p.totalLoad(now, request.DataCentre)
}

func (p *Peers) totalLoad(now time.Time, dataCentre string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	if dataCentre == p.self.DataCentre {
		sum = p.loads.own
	}
	for from, l := range p.loads.hosts {
		switch {
		case !l.valid(now):
			delete(p.loads.hosts, from)
		case l.dataCentre == dataCentre:
			sum += l.parts
		}
	}
	return sum
}

// setTotalLoad records the load of this data centre that the designated reader reported.
func (p *Peers) setTotalLoad(now time.Time, parts float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads.total = load{parts: parts, at: now}
}

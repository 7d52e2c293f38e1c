package peers

import (
	"time"

	"fescuerill/host"
)

const (
	// countDeadFor is how long a dead host still counts in the size of the fleet, since
	// the parts that it sent may still be in flight.
	countDeadFor = 15 * time.Second
	// assumedSize is the minimum size of the fleet that is assumed until its size is
	// known, for at most assumedFor; assumedLocalSize is the same for the data centre.
	assumedSize      = 12
	assumedLocalSize = 4
	assumedFor       = 3 * time.Second
)

// Size returns the number of hosts of the fleet, including this one and those that died
// within countDeadFor. Until the size is known, it is at least assumedSize.
func (p *Peers) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := 1
	p.members.Each(func(u host.Update) {
		if u.State != host.Dead {
			n++
		}
	})
	for a, at := range p.diedAt {
		if now.Sub(at) > countDeadFor {
			delete(p.diedAt, a)
			continue
		}
		n++
	}
	if !p.sizeKnown && now.Sub(p.startedAt) < assumedFor {
		n = max(n, assumedSize)
	}
	return n
}

// LocalSize returns the number of hosts in the data centre of this one that are not dead,
// including this one. Until the size of the fleet is known, it is at least
// assumedLocalSize.
func (p *Peers) LocalSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	p.members.Each(func(u host.Update) {
		if u.State != host.Dead && p.dataCentres[u.ID] == p.self.DataCentre {
			n++
		}
	})
	if !p.sizeKnown && time.Since(p.startedAt) < assumedFor {
		n = max(n, assumedLocalSize)
	}
	return n
}

// SizeKnown reports whether the size of the fleet is known, or assumedFor has passed.
func (p *Peers) SizeKnown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sizeKnown || time.Since(p.startedAt) >= assumedFor
}

// SetSizeKnown records that all hosts with a record in the store have been added.
func (p *Peers) SetSizeKnown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sizeKnown = true
}

package host

import "time"

const (
	// followUpsPerHost is the number of other hosts that are probed because one was observed in
	// the wrong state, and followUpInterval the minimum time between two such probes of a host.
	followUpsPerHost = 3
	followUpInterval = 2 * time.Second
	// massFailureShare is the share of the other hosts that are silent from which all others are
	// probed, but for those heard meanwhile.
	massFailureShare = 1.0 / 3
	// followUpShare is the share of the other hosts that are probed in this way in a second,
	// and minFollowUpRate the number that is allowed in a small fleet.
	followUpShare   = 0.5
	minFollowUpRate = 16
)

// followUps are the probes to be sent out of turn because a host was observed in the wrong
// state. Others are likely to be, too: a host that is left with many dead ones finds all of them
// in a few steps, however few others probe them. A single dead host costs a few probes.
type followUps struct {
	// silent is the number of probes to be sent to hosts that are observed as alive, and heard
	// the number to be sent to those that are suspected or dead.
	silent, heard int
	// next is the earliest time of the next one.
	next time.Time
}

// pending reports whether a probe is to be sent.
func (f *followUps) pending() bool { return f.silent > 0 || f.heard > 0 }

// ProbeUnanswered records that a host has not replied to a direct probe. Unless it is already
// known to be dead, a few others are due for a follow-up probe.
func (m *Membership) ProbeUnanswered(id string) {
	p := m.peers[id]
	if p == nil || p.State != Alive && p.State != Suspect {
		return
	}
	m.followUps.silent = min(m.followUps.silent+followUpsPerHost, len(m.peers))
}

// suspected records that a host is suspected, as observed here or by another host.
func (m *Membership) suspected() {
	if float64(m.countSilent()) >= massFailureShare*float64(len(m.peers)) {
		m.followUps.silent = len(m.peers)
	}
}

// countSilent returns the number of other hosts that are suspected or dead.
func (m *Membership) countSilent() int {
	n := 0
	for _, p := range m.peers {
		if p.State == Suspect || p.State == Dead {
			n++
		}
	}
	return n
}

// FollowUp returns the host to probe now, out of turn, or "" if none is due. Only hosts for
// which eligible returns true are. Of those observed as alive, the one that was not heard for
// the longest comes first.
func (m *Membership) FollowUp(now time.Time, eligible func(id string) bool) string {
	f := &m.followUps
	if !f.pending() || now.Before(f.next) {
		return ""
	}
	p := m.followUpTo(now, &f.silent, func(p *peer) bool { return p.State == Alive && eligible(p.ID) })
	if p == nil {
		p = m.followUpTo(now, &f.heard, func(p *peer) bool { return (p.State == Suspect || p.State == Dead) && eligible(p.ID) })
	}
	if p == nil {
		return ""
	}
	p.followUpAt = now
	f.next = now.Add(time.Duration(float64(time.Second) / max(minFollowUpRate, followUpShare*float64(len(m.peers)))))
	return p.ID
}

// followUpTo takes one of the probes that are to be sent to hosts of a kind, and returns the
// host for it, or nil if there is none.
func (m *Membership) followUpTo(now time.Time, left *int, ofKind func(*peer) bool) *peer {
	if *left == 0 {
		return nil
	}
	var first *peer
	for _, id := range m.probeOrder {
		p := m.peers[id]
		due := p != nil && now.Sub(p.heardAt) >= ProbeTimeout && now.Sub(p.followUpAt) >= followUpInterval && ofKind(p)
		if due && (first == nil || p.heardAt.Before(first.heardAt)) {
			first = p
		}
	}
	*left--
	if first == nil {
		*left = 0
	}
	return first
}

package host

import "time"

const (
	// followUpsPerHost is the number of other hosts that are probed because one was observed in
	// the wrong state, and followUpInterval the minimum time between two such probes of a host.
	followUpsPerHost = 3
	followUpInterval = 2 * time.Second
	// maxFollowUpTries is the number of probes in a row to a silent host, each once the one before
	// has failed: a probe or its answer may be lost.
	maxFollowUpTries = 3
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

// countFollowUp counts a follow-up probe to a silent host, or the first one of new ones if the
// one before did not fail just now. It does nothing if there is no host.
func (p *peer) countFollowUp() {
	switch {
	case p == nil:
	case p.followUpAt.IsZero():
		p.followUpTries++
	default:
		p.followUpTries = 1
	}
}

// AnsweredIndirectly records that a host has answered a probe of another host, but not the one
// of this host. If it is observed as silent, it remains so until a message of it arrives.
func (m *Membership) AnsweredIndirectly(id string) {
	if p := m.peers[id]; p != nil && (p.State == Suspect || p.State == Dead) {
		m.followUpFailed(p)
	}
}

// followUpFailed records that a silent host has not answered a probe directly. If that was a
// follow-up probe, another one is due.
func (m *Membership) followUpFailed(p *peer) {
	if p.followUpTries == 0 || p.followUpTries >= maxFollowUpTries {
		return
	}
	p.followUpAt = time.Time{}
	m.followUps.heard = min(m.followUps.heard+1, len(m.peers))
}

// FollowUp returns the host to probe now, out of turn, or "" if none is due. Only hosts for
// which eligible returns true are. Of those observed as alive, the one that was not heard for
// the longest comes first.
func (m *Membership) FollowUp(now time.Time, eligible func(id string) bool) string {
	f := &m.followUps
	if !f.pending() || now.Before(f.next) {
		return ""
	}
	p := m.followUpToAlive(now, eligible)
	if p == nil {
		p = m.followUpToSilent(now, eligible)
	}
	if p == nil {
		return ""
	}
	p.followUpAt = now
	f.next = now.Add(time.Duration(float64(time.Second) / max(minFollowUpRate, followUpShare*float64(len(m.peers)))))
	return p.ID
}

// followUpToAlive takes one of the probes that are to be sent to hosts observed as alive, and
// returns the host for it. If none is due, all these probes are dropped: the hosts were heard or
// probed just now.
func (m *Membership) followUpToAlive(now time.Time, eligible func(id string) bool) *peer {
	f := &m.followUps
	if f.silent == 0 {
		return nil
	}
	first, _ := m.firstDue(now, func(p *peer) bool { return p.State == Alive && eligible(p.ID) })
	f.silent--
	if first == nil {
		f.silent = 0
	}
	return first
}

// followUpToSilent takes one of the probes that are to be sent to suspected or dead hosts, and
// returns the host for it. If they were all probed just now, one probe to each of them stays due.
func (m *Membership) followUpToSilent(now time.Time, eligible func(id string) bool) *peer {
	f := &m.followUps
	if f.heard == 0 {
		return nil
	}
	first, others := m.firstDue(now, func(p *peer) bool { return (p.State == Suspect || p.State == Dead) && eligible(p.ID) })
	if first == nil {
		f.heard = min(f.heard, others)
		f.next = now.Add(ProbeTimeout)
		return nil
	}
	f.heard--
	first.countFollowUp()
	return first
}

// firstDue returns the host of a kind that was not heard for the longest, of those that were not
// heard or probed just now, or nil; and the number of the other hosts of the kind.
func (m *Membership) firstDue(now time.Time, ofKind func(*peer) bool) (first *peer, others int) {
	for _, id := range m.probeOrder {
		p := m.peers[id]
		if p == nil || !ofKind(p) {
			continue
		}
		others++
		due := now.Sub(p.heardAt) >= ProbeTimeout && now.Sub(p.followUpAt) >= followUpInterval
		if due && (first == nil || p.heardAt.Before(first.heardAt)) {
			first = p
		}
	}
	if first != nil {
		others--
	}
	return first, others
}

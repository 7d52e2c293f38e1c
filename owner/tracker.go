package owner

import (
	"slices"
	"time"

	"fescuerill/target"
)

// Epoch is a division of the targets among hosts.
type Epoch struct {
	// Number rises with every division.
	Number int
	// Owners is the owner of each target.
	Owners map[string]string
	// Before is the owner of each target under the epoch before, nil when it
	// is not known.
	Before map[string]string
	// Suspects names the hosts that may have owned targets under earlier
	// epochs: those of this epoch and those that left and are not known to
	// have ended.
	Suspects []string
	// Lapsed names hosts of the epoch before whose leases were gone when this
	// one was written.
	Lapsed []string
	// Settled is set when the epoch before had been in force for a lease time,
	// so that every proven owner had heard of it.
	Settled bool
	// Clean is set when no lease of the epoch before was left.
	Clean bool
}

// Survey is what the store says of the hosts.
type Survey struct {
	// Asked is when the survey began.
	Asked time.Time
	// Epoch is the number of the epoch in force.
	Epoch int
	// Acked is, for each host with a lease, the last epoch of which it has said
	// that it uses no target that the epoch gives to others.
	Acked map[string]int
}

// ownership is how a host came by a target.
type ownership struct {
	// epoch is the one under which the host became the owner, and ready when
	// no other host can be proven any more, if the epoch is then in force.
	epoch           int
	leasesExpiredAt time.Time
	// confirmed is set once it is known that no other host can be proven.
	confirmed bool
	// unacked names hosts that may still use half of the target, because they
	// have not said that they do not.
	unacked map[string]bool
}

// Ledger is what a host knows of the targets it owns. Reset it before use. It
// is not safe for use by several goroutines.
type Ledger struct {
	host                string
	leaseTime           time.Duration
	epoch               int
	possiblePriorOwners []string
	ownerships          map[string]*ownership
}

// Handover is a target that a host no longer owns.
type Handover struct {
	// Target is the path of the target and To its next owner, "" for none.
	Target, To string
	// Proven is set when the host could prove until now that it was the only
	// owner under the epoch before.
	Proven bool
}

// Reset empties the ledger and makes it that of the host. Leases in the fleet
// last for the given time.
func (l *Ledger) Reset(host string, lease time.Duration) {
	*l = Ledger{host: host, leaseTime: lease, ownerships: map[string]*ownership{}}
}

// Epoch returns the number of the epoch in force, 0 before the first.
func (l *Ledger) Epoch() int { return l.epoch }

// Owns reports whether the host is the owner of the target.
func (l *Ledger) Owns(path string) bool { return l.ownerships[path] != nil }

// Adopt puts an epoch in force and returns the targets that go to other hosts.
// An epoch that is not higher than the one in force changes nothing.
func (l *Ledger) Adopt(now time.Time, e Epoch, leaseProven bool) []Handover {
	if e.Number <= l.epoch {
		return nil
	}
	consecutive := e.Number == l.epoch+1
	l.epoch = e.Number
	l.possiblePriorOwners = e.Suspects
	lost := l.removeLost(e, consecutive && leaseProven)
	if !consecutive {
		l.dropUnconfirmed(leaseProven)
	}
	l.Complete(now, e)
	return lost
}

// dropUnconfirmed gives up, after an epoch was missed, the targets that another
// host may have owned under it. A host whose lease was proven all the time kept
// those of which it was the only proven owner.
func (l *Ledger) dropUnconfirmed(leaseProven bool) {
	for path, t := range l.ownerships {
		if !leaseProven || !t.confirmed || len(t.unacked) > 0 {
			delete(l.ownerships, path)
		}
	}
}

// Complete takes the division of the epoch in force again, when its targets
// became known later. The host gains those that it does not own yet.
func (l *Ledger) Complete(now time.Time, e Epoch) {
	if e.Number != l.epoch {
		return
	}
	for path, host := range e.Owners {
		if host == l.host && l.ownerships[path] == nil {
			l.ownerships[path] = l.newOwnership(now, e, path)
		}
	}
}

func (l *Ledger) removeLost(e Epoch, provable bool) []Handover {
	var lost []Handover
	for path, t := range l.ownerships {
		to := e.Owners[path]
		if to == l.host {
			continue
		}
		delete(l.ownerships, path)
		lost = append(lost, Handover{path, to, provable && t.confirmed && len(t.unacked) == 0})
	}
	return lost
}

func (l *Ledger) newOwnership(now time.Time, e Epoch, path string) *ownership {
	t := &ownership{epoch: e.Number, leasesExpiredAt: now.Add(l.leaseTime)}
	from, known := e.Before[path]
	if e.Clean || known && e.Settled && slices.Contains(e.Lapsed, from) {
		t.leasesExpiredAt = now
	}
	return t
}

// Released takes the word of the proven owner of the epoch before that it no
// longer uses a target, given when it learned of the epoch. It reports whether
// the target was waited for.
func (l *Ledger) Released(epoch int, path string) bool {
	t := l.ownerships[path]
	if t == nil || epoch != l.epoch || t.epoch != epoch || t.confirmed && len(t.unacked) == 0 {
		return false
	}
	t.confirmed = true
	t.unacked = nil
	return true
}

// Waiting reports whether a survey could make a target proven at now, and
// whether anything is waited for at all.
func (l *Ledger) Waiting(now time.Time) (unproven, waiting bool) {
	for _, t := range l.ownerships {
		unproven = unproven || !t.confirmed && !now.Before(t.leasesExpiredAt)
		waiting = waiting || t.confirmed && len(t.unacked) > 0
	}
	return unproven, waiting || unproven
}

// Surveyed takes a survey. Targets become proven by one that was made after
// every earlier lease had lapsed, shows that the epoch is still in force and
// came while the host's own lease was proven.
func (l *Ledger) Surveyed(s Survey, leaseProven bool) {
	for _, t := range l.ownerships {
		if !t.confirmed && leaseProven && s.Epoch == l.epoch && !s.Asked.Before(t.leasesExpiredAt) {
			t.confirmed = true
			t.unacked = map[string]bool{}
			for _, host := range l.possiblePriorOwners {
				t.unacked[host] = host != l.host
			}
			delete(t.unacked, l.host)
		}
		for host := range t.unacked {
			if s.Acked[host] >= t.epoch {
				delete(t.unacked, host)
			}
		}
	}
}

// Gone notes that every run of the host that could have owned targets has
// surely ended.
func (l *Ledger) Gone(host string) {
	for _, t := range l.ownerships {
		delete(t.unacked, host)
	}
}

// Doubted appends to dst the hosts that may still use half of a target.
func (l *Ledger) Doubted(dst []string) []string {
	seen := map[string]bool{}
	for _, t := range l.ownerships {
		for host := range t.unacked {
			if !seen[host] {
				seen[host] = true
				dst = append(dst, host)
			}
		}
	}
	return dst
}

// Share returns how much of a target the host may use.
func (l *Ledger) Share(path string, leaseProven bool) target.Share {
	t := l.ownerships[path]
	switch {
	case t == nil || !t.confirmed:
		return target.ShareNone
	case leaseProven && len(t.unacked) == 0:
		return target.ShareFull
	case leaseProven:
		return target.ShareRest
	case len(t.unacked) == 0:
		return target.ShareHalf
	default:
		return target.ShareNone
	}
}

// Owned appends to dst the targets that the host owns.
func (l *Ledger) Owned(dst []string) []string {
	for path := range l.ownerships {
		dst = append(dst, path)
	}
	return dst
}

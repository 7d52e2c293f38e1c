package owner

import (
	"slices"
	"time"

	"fescuerill/target"
)

// Assignment assigns targets to hosts for one epoch.
type Epoch struct {
	// Epoch is the epoch number. It increases with every assignment.
	Number int
	// Owners maps each target to its owner.
	Owners map[string]string
	// PreviousOwners maps each target to its owner under the previous epoch. It is nil
	// when they are unknown.
	Before map[string]string
	// PossiblePriorOwners are the hosts that may have owned targets under earlier
	// epochs: those of this epoch, and those that have left and are not known to have
	// terminated.
	Suspects []string
	// ExpiredHosts are the hosts of the previous epoch whose leases had expired when
	// this assignment was written.
	Lapsed []string
	// PreviousPropagated is set when the previous epoch had been in force for a lease
	// time, so that every owner with a valid lease had received it.
	Settled bool
	// NoPreviousLeases is set when no lease of the previous epoch was left.
	Clean bool
}

// StoreView is the state of the hosts as read from the store.
type Survey struct {
	// ReadAt is when the read began.
	Asked time.Time
	// Epoch is the number of the epoch in force.
	Epoch int
	// AckedEpochs maps each host with a lease to the last epoch that it has
	// acknowledged. By the acknowledgement the host states that it uses no target that
	// the epoch assigns to others.
	Acked map[string]int
}

// ownership describes how a host became the owner of a target.
type ownership struct {
	// epoch is the one under which the host became the owner. From leasesExpiredAt on,
	// no other host can own the target with a valid lease, provided that the epoch is
	// still in force.
	epoch           int
	leasesExpiredAt time.Time
	// confirmed is set once it is known that no other host owns the target with a valid
	// lease.
	confirmed bool
	// unacked contains the hosts that may still use half of the target, because they
	// have not acknowledged the epoch.
	unacked map[string]bool
}

// Tracker tracks the targets that a host owns. Call Reset before use. A Tracker is not
// safe for concurrent use.
type Ledger struct {
	host                string
	leaseTime           time.Duration
	epoch               int
	possiblePriorOwners []string
	ownerships          map[string]*ownership
}

// Handover is a target that a host no longer owns.
type Handover struct {
	// Target is the path of the target. NewOwner is its next owner, "" for none.
	Target, To string
	// SoleOwner is set when the host was certainly the only owner under the previous
	// epoch until now.
	Proven bool
}

// Reset empties the tracker and sets its host and the duration of the leases of all
// hosts.
func (t *Ledger) Reset(host string, leaseTime time.Duration) {
	*t = Ledger{host: host, leaseTime: leaseTime, ownerships: map[string]*ownership{}}
}

// Epoch returns the number of the epoch in force, 0 before the first.
func (t *Ledger) Epoch() int { return t.epoch }

// Owns reports whether the host is the owner of the target.
func (t *Ledger) Owns(path string) bool { return t.ownerships[path] != nil }

// Apply puts the epoch of an assignment in force and returns the targets that go to
// other hosts. It ignores an epoch that is not higher than the one in force.
func (t *Ledger) Adopt(now time.Time, a Epoch, leaseValid bool) []Handover {
	if a.Number <= t.epoch {
		return nil
	}
	consecutive := a.Number == t.epoch+1
	t.epoch = a.Number
	t.possiblePriorOwners = a.Suspects
	lost := t.removeLost(a, consecutive && leaseValid)
	if !consecutive {
		t.dropUnconfirmed(leaseValid)
	}
	t.Complete(now, a)
	return lost
}

// dropUnconfirmed removes, after the host has missed an epoch, the targets that another
// host may have owned under it. A host whose lease was valid throughout keeps those of
// which it was certainly the only owner.
func (t *Ledger) dropUnconfirmed(leaseValid bool) {
	for path, o := range t.ownerships {
		if !leaseValid || !o.confirmed || len(o.unacked) > 0 {
			delete(t.ownerships, path)
		}
	}
}

// AddTargets applies the assignment of the epoch in force again after further targets
// have become known. It adds the targets that the host does not own yet.
func (t *Ledger) Complete(now time.Time, a Epoch) {
	if a.Number != t.epoch {
		return
	}
	for path, host := range a.Owners {
		if host == t.host && t.ownerships[path] == nil {
			t.ownerships[path] = t.newOwnership(now, a, path)
		}
	}
}

func (t *Ledger) removeLost(a Epoch, certain bool) []Handover {
	var lost []Handover
	for path, o := range t.ownerships {
		newOwner := a.Owners[path]
		if newOwner == t.host {
			continue
		}
		delete(t.ownerships, path)
		lost = append(lost, Handover{path, newOwner, certain && o.confirmed && len(o.unacked) == 0})
	}
	return lost
}

func (t *Ledger) newOwnership(now time.Time, a Epoch, path string) *ownership {
	o := &ownership{epoch: a.Number, leasesExpiredAt: now.Add(t.leaseTime)}
	previous, known := a.Before[path]
	if a.Clean || known && a.Settled && slices.Contains(a.Lapsed, previous) {
		o.leasesExpiredAt = now
	}
	return o
}

// HandleRelease records that the sole owner under the previous epoch no longer uses a
// target, which it reported on receipt of the given epoch. It reports whether the
// tracker was waiting for the release.
func (t *Ledger) Released(epoch int, path string) bool {
	o := t.ownerships[path]
	if o == nil || epoch != t.epoch || o.epoch != epoch || o.confirmed && len(o.unacked) == 0 {
		return false
	}
	o.confirmed = true
	o.unacked = nil
	return true
}

// Pending reports whether a StoreView could confirm a target at now, and whether any
// target waits for a confirmation or an acknowledgement.
func (t *Ledger) Waiting(now time.Time) (unconfirmed, waiting bool) {
	for _, o := range t.ownerships {
		unconfirmed = unconfirmed || !o.confirmed && !now.Before(o.leasesExpiredAt)
		waiting = waiting || o.confirmed && len(o.unacked) > 0
	}
	return unconfirmed, waiting || unconfirmed
}

// ApplyStoreView confirms targets and records acknowledgements. A target is confirmed
// by a view that was read after every earlier lease had expired, shows that the epoch
// is still in force and arrived while the host's own lease was valid.
func (t *Ledger) Surveyed(v Survey, leaseValid bool) {
	for _, o := range t.ownerships {
		if !o.confirmed && leaseValid && v.Epoch == t.epoch && !v.Asked.Before(o.leasesExpiredAt) {
			o.confirmed = true
			o.unacked = map[string]bool{}
			for _, host := range t.possiblePriorOwners {
				o.unacked[host] = host != t.host
			}
			delete(o.unacked, t.host)
		}
		for host := range o.unacked {
			if v.Acked[host] >= o.epoch {
				delete(o.unacked, host)
			}
		}
	}
}

// HostTerminated records that every incarnation of the host that could have owned
// targets has certainly ended.
func (t *Ledger) Gone(host string) {
	for _, o := range t.ownerships {
		delete(o.unacked, host)
	}
}

// UnackedHosts appends to dst the hosts that may still use half of a target.
func (t *Ledger) Doubted(dst []string) []string {
	seen := map[string]bool{}
	for _, o := range t.ownerships {
		for host := range o.unacked {
			if !seen[host] {
				seen[host] = true
				dst = append(dst, host)
			}
		}
	}
	return dst
}

// Share returns how much of a target the host is allowed to use.
func (t *Ledger) Share(path string, leaseValid bool) target.Share {
	o := t.ownerships[path]
	switch {
	case o == nil || !o.confirmed:
		return target.ShareNone
	case leaseValid && len(o.unacked) == 0:
		return target.ShareFull
	case leaseValid:
		return target.ShareRest
	case len(o.unacked) == 0:
		return target.ShareHalf
	default:
		return target.ShareNone
	}
}

// Owned appends to dst the targets that the host owns.
func (t *Ledger) Owned(dst []string) []string {
	for path := range t.ownerships {
		dst = append(dst, path)
	}
	return dst
}

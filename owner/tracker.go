package owner

import (
	"slices"
	"time"

	"fescuerill/target"
)

// Assignment assigns targets to hosts for one epoch.
type Assignment struct {
	// Epoch is the epoch number. It increases with every assignment.
	Epoch int
	// Owners maps each target to its owner.
	Owners map[string]string
	// PreviousOwners maps each target to its owner under the previous epoch. It is nil
	// when they are unknown.
	PreviousOwners map[string]string
	// PossiblePriorOwners are the hosts that may have owned targets under earlier
	// epochs: those of this epoch, and those that have left and are not known to have
	// terminated.
	PossiblePriorOwners []string
	// ExpiredHosts are the hosts of the previous epoch whose leases had expired when
	// this assignment was written.
	ExpiredHosts []string
	// PreviousPropagated is set when the previous epoch had been in force for a lease
	// time, so that every owner with a valid lease had received it.
	PreviousPropagated bool
	// NoPreviousLeases is set when no lease of the previous epoch was left.
	NoPreviousLeases bool
}

// StoreView is the state of the hosts as read from the store.
type StoreView struct {
	// ReadAt is when the read began.
	ReadAt time.Time
	// Epoch is the number of the epoch in force.
	Epoch int
	// AckedEpochs maps each host with a lease to the last epoch that it has
	// acknowledged. By the acknowledgement the host states that it uses no target that
	// the epoch assigns to others.
	AckedEpochs map[string]int
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
type Tracker struct {
	host                string
	leaseTime           time.Duration
	epoch               int
	possiblePriorOwners []string
	ownerships          map[string]*ownership
}

// Handover is a target that a host no longer owns.
type Handover struct {
	// Target is the path of the target. NewOwner is its next owner, "" for none.
	Target, NewOwner string
	// SoleOwner is set when the host was certainly the only owner under the previous
	// epoch until now.
	SoleOwner bool
}

// Reset empties the tracker and sets its host and the duration of the leases of all
// hosts.
func (t *Tracker) Reset(host string, leaseTime time.Duration) {
	*t = Tracker{host: host, leaseTime: leaseTime, ownerships: map[string]*ownership{}}
}

// Epoch returns the number of the epoch in force, 0 before the first.
func (t *Tracker) Epoch() int { return t.epoch }

// Owns reports whether the host is the owner of the target.
func (t *Tracker) Owns(path string) bool { return t.ownerships[path] != nil }

// Apply puts the epoch of an assignment in force and returns the targets that go to
// other hosts. It ignores an epoch that is not higher than the one in force.
func (t *Tracker) Apply(now time.Time, a Assignment, leaseValid bool) []Handover {
	if a.Epoch <= t.epoch {
		return nil
	}
	consecutive := a.Epoch == t.epoch+1
	t.epoch = a.Epoch
	t.possiblePriorOwners = a.PossiblePriorOwners
	handovers := t.removeReassigned(a, consecutive && leaseValid)
	if !consecutive {
		t.dropUnconfirmed(leaseValid)
	}
	t.AddTargets(now, a)
	return handovers
}

// dropUnconfirmed removes, after the host has missed an epoch, the targets that another
// host may have owned under it. A host whose lease was valid throughout keeps those of
// which it was certainly the only owner.
func (t *Tracker) dropUnconfirmed(leaseValid bool) {
	for path, o := range t.ownerships {
		if !leaseValid || !o.confirmed || len(o.unacked) > 0 {
			delete(t.ownerships, path)
		}
	}
}

// AddTargets applies the assignment of the epoch in force again after further targets
// have become known. It adds the targets that the host does not own yet.
func (t *Tracker) AddTargets(now time.Time, a Assignment) {
	if a.Epoch != t.epoch {
		return
	}
	for path, host := range a.Owners {
		if host == t.host && t.ownerships[path] == nil {
			t.ownerships[path] = t.newOwnership(now, a, path)
		}
	}
}

// removeReassigned removes the targets that the assignment gives to other hosts and returns
// them. certain is set if the host has missed no epoch and its lease is valid.
func (t *Tracker) removeReassigned(a Assignment, certain bool) []Handover {
	var handovers []Handover
	for path, o := range t.ownerships {
		newOwner := a.Owners[path]
		if newOwner == t.host {
			continue
		}
		delete(t.ownerships, path)
		handovers = append(handovers, Handover{path, newOwner, certain && o.confirmed && len(o.unacked) == 0})
	}
	return handovers
}

func (t *Tracker) newOwnership(now time.Time, a Assignment, path string) *ownership {
	o := &ownership{epoch: a.Epoch, leasesExpiredAt: now.Add(t.leaseTime)}
	previous, known := a.PreviousOwners[path]
	if a.NoPreviousLeases || known && a.PreviousPropagated && slices.Contains(a.ExpiredHosts, previous) {
		o.leasesExpiredAt = now
	}
	return o
}

// HandleRelease records that the sole owner under the previous epoch no longer uses a
// target, which it reported on receipt of the given epoch. It reports whether the
// tracker was waiting for the release.
func (t *Tracker) HandleRelease(epoch int, path string) bool {
	o := t.ownerships[path]
	if o == nil || epoch != t.epoch || o.epoch != epoch || o.confirmed && len(o.unacked) == 0 {
		return false
	}
	o.confirmed = true
	o.unacked = nil
	return true
}

// Pending reports whether a StoreView read at now could confirm a target, and whether it
// could either confirm a target or show an acknowledgement that is awaited.
func (t *Tracker) Pending(now time.Time) (confirmable, waiting bool) {
	for _, o := range t.ownerships {
		confirmable = confirmable || !o.confirmed && !now.Before(o.leasesExpiredAt)
		waiting = waiting || o.confirmed && len(o.unacked) > 0
	}
	return confirmable, waiting || confirmable
}

// ApplyStoreView confirms targets and records acknowledgements. A target is confirmed
// by a view that was read after every earlier lease had expired, shows that the epoch
// is still in force and arrived while the host's own lease was valid.
func (t *Tracker) ApplyStoreView(v StoreView, leaseValid bool) {
	for _, o := range t.ownerships {
		if !o.confirmed && leaseValid && v.Epoch == t.epoch && !v.ReadAt.Before(o.leasesExpiredAt) {
			o.confirmed = true
			o.unacked = map[string]bool{}
			for _, host := range t.possiblePriorOwners {
				o.unacked[host] = host != t.host
			}
			delete(o.unacked, t.host)
		}
		for host := range o.unacked {
			if v.AckedEpochs[host] >= o.epoch {
				delete(o.unacked, host)
			}
		}
	}
}

// HostTerminated records that every incarnation of the host that could have owned
// targets has certainly ended.
func (t *Tracker) HostTerminated(host string) {
	for _, o := range t.ownerships {
		delete(o.unacked, host)
	}
}

// UnackedHosts appends to dst the hosts that may still use half of a target.
func (t *Tracker) UnackedHosts(dst []string) []string {
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
func (t *Tracker) Share(path string, leaseValid bool) target.Share {
	o := t.ownerships[path]
	switch {
	case o == nil || !o.confirmed:
		return target.ShareNone
	case leaseValid && len(o.unacked) == 0:
		return target.ShareFull
	case leaseValid:
		return target.ShareRemainder
	case len(o.unacked) == 0:
		return target.ShareHalf
	default:
		return target.ShareNone
	}
}

// Owned appends to dst the targets that the host owns.
func (t *Tracker) Owned(dst []string) []string {
	for path := range t.ownerships {
		dst = append(dst, path)
	}
	return dst
}

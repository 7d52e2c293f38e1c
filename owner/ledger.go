package owner

import (
	"slices"
	"time"

	"fescuerill/target"
)

// Assignment is a division of the targets among hosts.
type Assignment struct {
	// Epoch rises with every division.
	Epoch int
	// Owners is the owner of each target.
	Owners map[string]string
	// PreviousOwners is the owner of each target under the epoch before, nil when it
	// is not known.
	PreviousOwners map[string]string
	// PossiblePriorOwners names the hosts that may have owned targets under earlier
	// epochs: those of this epoch and those that left and are not known to
	// have ended.
	PossiblePriorOwners []string
	// ExpiredHosts names hosts of the epoch before whose leases were gone when this
	// one was written.
	ExpiredHosts []string
	// PreviousPropagated is set when the epoch before had been in force for a lease time,
	// so that every proven owner had heard of it.
	PreviousPropagated bool
	// NoPreviousLeases is set when no lease of the epoch before was left.
	NoPreviousLeases bool
}

// StoreView is what the store says of the hosts.
type StoreView struct {
	// ReadAt is when the survey began.
	ReadAt time.Time
	// Epoch is the number of the epoch in force.
	Epoch int
	// AckedEpochs is, for each host with a lease, the last epoch of which it has said
	// that it uses no target that the epoch gives to others.
	AckedEpochs map[string]int
}

// tenure is how a host came by a target.
type tenure struct {
	// epoch is the one under which the host became the owner, and ready when
	// no other host can be proven any more, if the epoch is then in force.
	epoch int
	ready time.Time
	// proven is set once it is known that no other host can be proven.
	proven bool
	// doubts names hosts that may still use half of the target, because they
	// have not said that they do not.
	doubts map[string]bool
}

// Tracker is what a host knows of the targets it owns. Reset it before use. It
// is not safe for use by several goroutines.
type Tracker struct {
	host     string
	lease    time.Duration
	epoch    int
	suspects []string
	tenures  map[string]*tenure
}

// Handover is a target that a host no longer owns.
type Handover struct {
	// Target is the path of the target and To its next owner, "" for none.
	Target, NewOwner string
	// SoleOwner is set when the host could prove until now that it was the only
	// owner under the epoch before.
	SoleOwner bool
}

// Reset empties the ledger and makes it that of the host. Leases in the fleet
// last for the given time.
func (l *Tracker) Reset(host string, lease time.Duration) {
	*l = Tracker{host: host, lease: lease, tenures: map[string]*tenure{}}
}

// Epoch returns the number of the epoch in force, 0 before the first.
func (l *Tracker) Epoch() int { return l.epoch }

// Owns reports whether the host is the owner of the target.
func (l *Tracker) Owns(path string) bool { return l.tenures[path] != nil }

// Apply puts an epoch in force and returns the targets that go to other hosts.
// An epoch that is not higher than the one in force changes nothing.
func (l *Tracker) Apply(now time.Time, e Assignment, leaseProven bool) []Handover {
	if e.Epoch <= l.epoch {
		return nil
	}
	consecutive := e.Epoch == l.epoch+1
	l.epoch = e.Epoch
	l.suspects = e.PossiblePriorOwners
	lost := l.lose(e, consecutive && leaseProven)
	if !consecutive {
		l.doubtMissed(leaseProven)
	}
	l.AddTargets(now, e)
	return lost
}

// doubtMissed gives up, after an epoch was missed, the targets that another
// host may have owned under it. A host whose lease was proven all the time kept
// those of which it was the only proven owner.
func (l *Tracker) doubtMissed(leaseProven bool) {
	for path, t := range l.tenures {
		if !leaseProven || !t.proven || len(t.doubts) > 0 {
			delete(l.tenures, path)
		}
	}
}

// AddTargets takes the division of the epoch in force again, when its targets
// became known later. The host gains those that it does not own yet.
func (l *Tracker) AddTargets(now time.Time, e Assignment) {
	if e.Epoch != l.epoch {
		return
	}
	for path, host := range e.Owners {
		if host == l.host && l.tenures[path] == nil {
			l.tenures[path] = l.gain(now, e, path)
		}
	}
}

func (l *Tracker) lose(e Assignment, provable bool) []Handover {
	var lost []Handover
	for path, t := range l.tenures {
		to := e.Owners[path]
		if to == l.host {
			continue
		}
		delete(l.tenures, path)
		lost = append(lost, Handover{path, to, provable && t.proven && len(t.doubts) == 0})
	}
	return lost
}

func (l *Tracker) gain(now time.Time, e Assignment, path string) *tenure {
	t := &tenure{epoch: e.Epoch, ready: now.Add(l.lease)}
	from, known := e.PreviousOwners[path]
	if e.NoPreviousLeases || known && e.PreviousPropagated && slices.Contains(e.ExpiredHosts, from) {
		t.ready = now
	}
	return t
}

// HandleRelease takes the word of the proven owner of the epoch before that it no
// longer uses a target, given when it learned of the epoch. It reports whether
// the target was waited for.
func (l *Tracker) HandleRelease(epoch int, path string) bool {
	t := l.tenures[path]
	if t == nil || epoch != l.epoch || t.epoch != epoch || t.proven && len(t.doubts) == 0 {
		return false
	}
	t.proven = true
	t.doubts = nil
	return true
}

// Pending reports whether a survey could make a target proven at now, and
// whether anything is waited for at all.
func (l *Tracker) Pending(now time.Time) (unproven, waiting bool) {
	for _, t := range l.tenures {
		unproven = unproven || !t.proven && !now.Before(t.ready)
		waiting = waiting || t.proven && len(t.doubts) > 0
	}
	return unproven, waiting || unproven
}

// ApplyStoreView takes a survey. Targets become proven by one that was made after
// every earlier lease had lapsed, shows that the epoch is still in force and
// came while the host's own lease was proven.
func (l *Tracker) ApplyStoreView(s StoreView, leaseProven bool) {
	for _, t := range l.tenures {
		if !t.proven && leaseProven && s.Epoch == l.epoch && !s.ReadAt.Before(t.ready) {
			t.proven = true
			t.doubts = map[string]bool{}
			for _, host := range l.suspects {
				t.doubts[host] = host != l.host
			}
			delete(t.doubts, l.host)
		}
		for host := range t.doubts {
			if s.AckedEpochs[host] >= t.epoch {
				delete(t.doubts, host)
			}
		}
	}
}

// HostTerminated notes that every run of the host that could have owned targets has
// surely ended.
func (l *Tracker) HostTerminated(host string) {
	for _, t := range l.tenures {
		delete(t.doubts, host)
	}
}

// UnackedHosts appends to dst the hosts that may still use half of a target.
func (l *Tracker) UnackedHosts(dst []string) []string {
	seen := map[string]bool{}
	for _, t := range l.tenures {
		for host := range t.doubts {
			if !seen[host] {
				seen[host] = true
				dst = append(dst, host)
			}
		}
	}
	return dst
}

// Share returns how much of a target the host may use.
func (l *Tracker) Share(path string, leaseProven bool) target.Share {
	t := l.tenures[path]
	switch {
	case t == nil || !t.proven:
		return target.ShareNone
	case leaseProven && len(t.doubts) == 0:
		return target.ShareFull
	case leaseProven:
		return target.ShareRemainder
	case len(t.doubts) == 0:
		return target.ShareHalf
	default:
		return target.ShareNone
	}
}

// Owned appends to dst the targets that the host owns.
func (l *Tracker) Owned(dst []string) []string {
	for path := range l.tenures {
		dst = append(dst, path)
	}
	return dst
}

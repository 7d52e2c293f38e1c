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
	// Left names the hosts of the epoch before that are not in this one, and
	// Lapsed those of them whose leases were gone when this one was written.
	Left, Lapsed []string
	// Renewed names hosts that have a new lease and thus hold nothing from
	// before.
	Renewed []string
	// Settled is set when the epoch before had been in force for a lease time,
	// so that every proven owner had heard of it.
	Settled bool
	// Clean is set when no lease of the epoch before was left.
	Clean bool
}

// tenure is how a host came by a target.
type tenure struct {
	// since is when the host learned of the epoch under which it is the owner.
	since time.Time
	// proven is set once no other host can prove that it is the owner.
	proven bool
	// doubts names hosts that may still use half of the target, because
	// neither a release nor their end is known.
	doubts map[string]bool
}

// Ledger is what a host knows of the targets it owns. Reset it before use. It
// is not safe for use by several goroutines.
type Ledger struct {
	host    string
	lease   time.Duration
	epoch   int
	tenures map[string]*tenure
}

// Handover is a target that a host no longer owns.
type Handover struct {
	// Target is the path of the target and To its next owner, "" for none.
	Target, To string
	// Proven is set when the host could prove until now that it was the owner
	// under the epoch before.
	Proven bool
}

// Reset empties the ledger and makes it that of the host. Leases in the fleet
// last for the given time.
func (l *Ledger) Reset(host string, lease time.Duration) {
	*l = Ledger{host: host, lease: lease, tenures: map[string]*tenure{}}
}

// Epoch returns the number of the epoch in force, 0 before the first.
func (l *Ledger) Epoch() int { return l.epoch }

// Owns reports whether the host is the owner of the target.
func (l *Ledger) Owns(path string) bool { return l.tenures[path] != nil }

// Adopt puts an epoch in force and returns the targets that go to other hosts.
// An epoch that is not higher than the one in force changes nothing. A host
// that missed an epoch and cannot prove its lease starts anew with what it
// owns.
func (l *Ledger) Adopt(now time.Time, e Epoch, leaseProven bool) []Handover {
	if e.Number <= l.epoch {
		return nil
	}
	consecutive := e.Number == l.epoch+1
	l.epoch = e.Number
	lost := l.lose(now, e, consecutive && leaseProven)
	if !consecutive && !leaseProven {
		clear(l.tenures)
	}
	for path, host := range e.Owners {
		if host == l.host && l.tenures[path] == nil {
			l.tenures[path] = l.gain(now, e, path)
		}
	}
	for _, host := range e.Renewed {
		l.Gone(host)
	}
	return lost
}

// Complete takes the division of the epoch in force again, now that its targets
// are known. The host gains those it does not own yet.
func (l *Ledger) Complete(now time.Time, e Epoch) {
	if e.Number != l.epoch {
		return
	}
	for path, host := range e.Owners {
		if host == l.host && l.tenures[path] == nil {
			l.tenures[path] = l.gain(now, e, path)
		}
	}
}

func (l *Ledger) lose(now time.Time, e Epoch, provable bool) []Handover {
	var lost []Handover
	for path, t := range l.tenures {
		to := e.Owners[path]
		if to == l.host {
			continue
		}
		delete(l.tenures, path)
		lost = append(lost, Handover{path, to, provable && l.proven(now, t)})
	}
	return lost
}

func (l *Ledger) gain(now time.Time, e Epoch, path string) *tenure {
	t := &tenure{since: now, doubts: map[string]bool{}}
	from, known := e.Before[path]
	switch {
	case known:
		t.doubts[from] = true
		t.proven = e.Clean || e.Settled && slices.Contains(e.Lapsed, from)
	default:
		for _, host := range e.Left {
			t.doubts[host] = true
		}
		t.proven = e.Clean
	}
	delete(t.doubts, l.host)
	return t
}

func (l *Ledger) proven(now time.Time, t *tenure) bool {
	if !t.proven && !now.Before(t.since.Add(l.lease)) {
		t.proven = true
	}
	return t.proven
}

// Released takes the word of the proven owner of the epoch before that it no
// longer uses a target, given when it learned of the epoch. It reports whether
// the target was waited for.
func (l *Ledger) Released(epoch int, path string) bool {
	t := l.tenures[path]
	if t == nil || epoch != l.epoch || t.proven && len(t.doubts) == 0 {
		return false
	}
	t.proven = true
	clear(t.doubts)
	return true
}

// Gone notes that the run of the host that could have owned targets has surely
// ended.
func (l *Ledger) Gone(host string) {
	for _, t := range l.tenures {
		delete(t.doubts, host)
	}
}

// Doubted appends to dst the hosts whose end is waited for.
func (l *Ledger) Doubted(dst []string) []string {
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

// Share returns how much of a target the host may use at now.
func (l *Ledger) Share(now time.Time, path string, leaseProven bool) target.Share {
	t := l.tenures[path]
	if t == nil || !l.proven(now, t) {
		return target.ShareNone
	}
	switch {
	case !leaseProven:
		return target.ShareHalf
	case len(t.doubts) > 0:
		return target.ShareRest
	default:
		return target.ShareFull
	}
}

// Owned appends to dst the targets that the host owns.
func (l *Ledger) Owned(dst []string) []string {
	for path := range l.tenures {
		dst = append(dst, path)
	}
	return dst
}

package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/owner"
	"fescuerill/store"
)

// Rate and interval of the reconciliation.
const (
	// reconcilesPerSecond is the number of hosts in the whole fleet that, on
	// average, compare the host records in the store with the member list each
	// second.
	reconcilesPerSecond = 1
	// reconcileInterval is the mean interval at which a host decides at random
	// whether to be one of them.
	reconcileInterval = time.Second
)

// readMembers reads the member list from the store and installs it if it is
// newer. The store returns nothing if the list has not changed since the known
// revision.
func (f *fleet) readMembers(ctx context.Context) error {
	f.mu.Lock()
	after := f.membersRevision
	f.mu.Unlock()
	requestedAt := time.Now()
	e, err := f.store.Watch(ctx, membersKey, after, 0)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.handleEntry(ctx, e, requestedAt)
}

// handleEntry installs the member list of a store entry if it is newer. The
// roster is read only if the list can't be derived from the one in force.
func (f *fleet) handleEntry(ctx context.Context, e store.Entry, requestedAt time.Time) error {
	var m platform.MembershipChange
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: decode member list")
	}
	members, err := f.loadMembers(ctx, m)
	if err != nil {
		return err
	}
	f.installMembers(members, e.Revision, requestedAt)
	return nil
}

func (f *fleet) loadMembers(ctx context.Context, m platform.MembershipChange) (memberList, error) {
	current := f.currentMembers()
	if m.Epoch <= current.Epoch {
		return current, nil
	}
	if members, err := current.apply(m); err == nil {
		return members, nil
	}
	e, err := f.store.Get(ctx, rosterKey(m.Epoch))
	if err != nil {
		return memberList{}, err
	}
	return decodeMemberList(m, e.Value)
}

// installMembers installs a member list if it is newer.
func (f *fleet) installMembers(members memberList, revision int, requestedAt time.Time) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	f.mu.Lock()
	f.membersRevision = max(f.membersRevision, revision)
	newer := members.Epoch > f.members.Epoch
	if newer {
		f.members = members
		f.membersRequestedAt = requestedAt
	}
	f.mu.Unlock()
	if newer {
		f.onMembersChanged(members, requestedAt)
		f.updateListedLease(members)
	}
}

// updateListedLease records the lease that the member list states for this
// host.
func (f *fleet) updateListedLease(members memberList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedLease = ""
	if h, ok := members.member(f.self.ID); ok && h.Incarnation == f.self.Incarnation {
		f.listedLease = h.Lease
		f.everListed = true
	}
}

// watchMembers waits until the store has a newer member list and installs it.
func (f *fleet) watchMembers(ctx context.Context) error {
	f.mu.Lock()
	after := f.membersRevision
	f.mu.Unlock()
	requestedAt := time.Now()
	e, err := f.store.Watch(ctx, membersKey, after, watchTimeout)
	if err == nil {
		return f.handleEntry(ctx, e, requestedAt)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// reconcileLoop compares the host records in the store with the member list.
// About one host of the fleet does so each second.
func (f *fleet) reconcileLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, reconcileInterval/2+rand.N(reconcileInterval))
		n := len(f.currentMembers().hosts)
		if ctx.Err() == nil && (n == 0 || rand.IntN(n) < reconcilesPerSecond) {
			_ = f.recordStoreResult(f.reconcile(ctx))
		}
	}
}

// reconcile writes a new member list if the hosts or the targets have changed.
func (f *fleet) reconcile(ctx context.Context) error {
	resolved := f.currentSettings()
	if resolved == nil {
		return nil
	}
	if err := f.readMembers(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	old, revision, requestedAt := f.members, f.membersRevision, f.membersRequestedAt
	f.mu.Unlock()
	listed, err := f.listHosts(ctx)
	if err != nil {
		return err
	}
	propagated := old.Epoch > 0 && time.Since(requestedAt) >= f.leaseTime
	next, changed := old.next(listed, resolved.Fingerprint(), resolved.DataCentreEvacuated, propagated)
	if !changed {
		return nil
	}
	next.Doubted = f.unconfirmedDepartures(ctx, old, next)
	return f.writeMembers(ctx, next, revision)
}

// rosterKey returns the key of the roster of an epoch. Keys are reused in turn;
// a roster is verified by the checksum in the member list.
func rosterKey(epoch int) string { return rosterKeyPrefix + strconv.Itoa(epoch%maxRosters) }

// writeMembers writes a member list after its roster. If two hosts write the
// same epoch at once, the compare-and-swap of one of them fails. If the roster
// of that host is the one left in the store, hosts that need the roster wait
// for the next epoch.
func (f *fleet) writeMembers(ctx context.Context, members memberList, revision int) error {
	roster, sum, err := encodeRoster(members.hosts)
	if err != nil {
		return err
	}
	members.Sum, members.Size = sum, len(members.hosts)
	text, err := json.Marshal(members.MembershipChange)
	if err != nil {
		return errors.Wrap(err, "daemon: encode member list")
	}
	if _, err := f.store.Put(ctx, rosterKey(members.Epoch), roster, store.AnyRevision, ""); err != nil {
		return err
	}
	requestedAt := time.Now()
	e, err := f.store.Put(ctx, membersKey, string(text), revision, "")
	if err != nil {
		return err
	}
	f.installMembers(members, e.Revision, requestedAt)
	return nil
}

// unconfirmedDepartures returns the hosts that left with next or earlier, are
// not in next and are not known to have terminated.
func (f *fleet) unconfirmedDepartures(ctx context.Context, old, next memberList) []string {
	var out []string
	for _, id := range old.Doubted {
		if indexOfHost(next.hosts, id) < 0 && !slices.Contains(next.Left, id) {
			out = append(out, id)
		}
	}
	out = append(out, next.Left...)
	if len(out) == 0 {
		return nil
	}
	terminated := f.terminated(ctx, out)
	return slices.DeleteFunc(out, func(id string) bool { return terminated[id] })
}

// terminated returns those of the hosts that have been missing from the host
// list for longer than its maximum delay.
func (f *fleet) terminated(ctx context.Context, ids []string) map[string]bool {
	out := map[string]bool{}
	if f.hostList == nil {
		return out
	}
	listed, err := f.hostList.HostStates(ctx)
	if err != nil {
		return out
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.absentSince == nil {
		f.absentSince = map[string]time.Time{}
	}
	for _, id := range ids {
		switch since, ok := f.absentSince[id]; {
		case listed[id] != "":
			delete(f.absentSince, id)
		case !ok:
			f.absentSince[id] = now
		default:
			out[id] = now.Sub(since) >= f.hostListLag
		}
	}
	return out
}

// readStoreView reads the epoch in force and the epochs that the hosts have
// acknowledged from the store.
func (f *fleet) readStoreView(ctx context.Context) (owner.StoreView, error) {
	s := owner.StoreView{ReadAt: time.Now(), AckedEpochs: map[string]int{}}
	if err := f.recordStoreResult(f.readMembers(ctx)); err != nil {
		return s, err
	}
	s.Epoch = f.currentMembers().Epoch
	listed, err := f.listHosts(ctx)
	for _, m := range listed {
		s.AckedEpochs[m.ID] = m.Epoch
	}
	return s, err
}

// readAckedEpochs reads the epochs that the named hosts have acknowledged. The
// result has no epoch and no time, so it can't confirm ownership.
func (f *fleet) readAckedEpochs(ctx context.Context, ids []string) owner.StoreView {
	s := owner.StoreView{AckedEpochs: map[string]int{}}
	for _, id := range ids {
		var m platform.Member
		e, err := f.store.Get(ctx, HostKeyPrefix+id)
		if f.recordStoreResult(err) == nil && json.Unmarshal([]byte(e.Value), &m) == nil {
			s.AckedEpochs[id] = m.Epoch
		}
	}
	return s
}

// listHosts returns the records of the hosts that hold a lease.
func (f *fleet) listHosts(ctx context.Context) ([]platform.Member, error) {
	entries, err := f.store.List(ctx, HostKeyPrefix)
	if err != nil {
		return nil, f.recordStoreResult(err)
	}
	var out []platform.Member
	for _, e := range entries {
		var m platform.Member
		if json.Unmarshal([]byte(e.Value), &m) == nil {
			out = append(out, m)
		}
	}
	return out, nil
}

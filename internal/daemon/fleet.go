package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/lease"
	"fescuerill/settings"
	"fescuerill/store"
)

// Store keys, timeouts and intervals of the membership.
const (
	// HostKeyPrefix is the prefix of the keys of the host records.
	HostKeyPrefix   = "hosts/"
	membersKey      = "members"
	rosterKeyPrefix = "rosters/"
	// maxRosters is the number of rosters kept in the store.
	maxRosters = 16
	// watchTimeout is how long a watch of the store waits for a change.
	watchTimeout = 20 * time.Second
	// maxHostListLag is the maximum delay after which a change of the hosts
	// appears in the host list.
	maxHostListLag = 30 * time.Second
	// maxJoinsPerSecond is the number of hosts that join in a second when all
	// start at once. Each join takes two writes to the store.
	maxJoinsPerSecond = 150
	// storeRetryDelay is the mean delay after a failed call to the store.
	storeRetryDelay = 500 * time.Millisecond
)

// fleet maintains the membership of this host: its lease, its host record in
// the store and its copy of the member list.
type fleet struct {
	store            store.Service
	self             platform.Member
	leaseTime        time.Duration
	onMembersChanged func(members memberList, requestedAt time.Time)
	// clearedEpoch returns the last epoch for which the host no longer uses any
	// target that the epoch assigns to another host.
	clearedEpoch func() int
	hostList     *store.HostList
	// hostListLag is the maximum delay after which a change of the hosts
	// appears in the host list.
	hostListLag time.Duration

	// installMu is held while a member list is installed, so that lists are
	// installed in order; mu guards the fields below.
	installMu sync.Mutex
	mu        sync.Mutex
	lease     lease.Lease
	// listedLease is the lease that the member list states for this host.
	listedLease string
	// everListed is set once the host has been in a member list.
	everListed         bool
	members            memberList
	membersRevision    int
	membersRequestedAt time.Time
	leaving            bool
	storeFailed        bool
	// absentSince is when each absent host was first missing from the host list.
	absentSince     map[string]time.Time
	currentSettings func() *settings.Resolved
}

// leaseValid reports whether the host certainly holds, at now, the lease that
// the member list states for it.
func (f *fleet) leaseValid(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Valid(now) && f.listedLease == f.lease.ID()
}

// currentMembers returns the member list in force.
func (f *fleet) currentMembers() memberList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}

// storeFailing reports whether the last call to the store failed.
func (f *fleet) storeFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeFailed
}

// recordStoreResult records whether a call to the store failed, and returns its
// error. A missing key and a conflict are no failures of the store.
func (f *fleet) recordStoreResult(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeFailed = err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict)
	return err
}

// maintainLease joins the membership and then renews the lease and acknowledges
// epochs.
func (f *fleet) maintainLease(ctx context.Context) {
	pause(ctx, f.joinDelay(ctx))
	for ctx.Err() == nil {
		f.mu.Lock()
		id, at := f.lease.ID(), f.lease.RenewAt()
		f.mu.Unlock()
		if id == "" {
			if f.recordStoreResult(f.join(ctx)) != nil {
				pause(ctx, rand.N(2*storeRetryDelay))
			}
			continue
		}
		pause(ctx, time.Until(at))
		if ctx.Err() == nil {
			f.renew(ctx, id)
			_ = f.ack(ctx, f.clearedEpoch())
		}
	}
}

// joinDelay returns a random delay before the host joins, so that a fleet whose
// hosts all start at the same time does not overload the store.
func (f *fleet) joinDelay(ctx context.Context) time.Duration {
	e, err := f.store.Get(ctx, membersKey)
	var m platform.MembershipChange
	if err != nil || json.Unmarshal([]byte(e.Value), &m) != nil || m.Size == 0 {
		return 0
	}
	return rand.N(time.Duration(m.Size) * time.Second / maxJoinsPerSecond)
}

// join acquires a new lease and writes the host record under it.
func (f *fleet) join(ctx context.Context) error {
	sent := time.Now()
	id, err := f.store.Grant(ctx, f.leaseTime)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.self.New = new(!f.everListed)
	self := f.self
	self.Lease, self.Epoch = id, 0
	f.mu.Unlock()
	if err := f.writeHostRecord(ctx, self); err != nil {
		return err
	}
	f.mu.Lock()
	f.self.Lease, f.self.Epoch = id, 0
	f.lease.Granted(id, sent, f.leaseTime)
	f.mu.Unlock()
	return f.readMembers(ctx)
}

func (f *fleet) writeHostRecord(ctx context.Context, m platform.Member) error {
	text, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "daemon: encode host record")
	}
	_, err = f.store.Put(ctx, HostKeyPrefix+m.ID, string(text), store.AnyRevision, m.Lease)
	return err
}

// renew renews the lease and then reads the member list, so that a valid lease
// implies a member list that is at least as recent as the renewal.
func (f *fleet) renew(ctx context.Context, id string) {
	sent := time.Now()
	f.mu.Lock()
	f.lease.RenewalSent(sent)
	f.mu.Unlock()
	err := f.recordStoreResult(f.store.Renew(ctx, id))
	if errors.Is(err, store.ErrNotFound) {
		f.mu.Lock()
		f.lease.Clear()
		f.mu.Unlock()
		return
	}
	if err == nil {
		err = f.recordStoreResult(f.readMembers(ctx))
	}
	if err == nil {
		f.mu.Lock()
		f.lease.Renewed(sent)
		f.mu.Unlock()
	}
}

// ack records in the store that the host no longer uses any target that the
// epoch assigns to another host.
func (f *fleet) ack(ctx context.Context, epoch int) error {
	f.mu.Lock()
	self := f.self
	f.mu.Unlock()
	if epoch <= self.Epoch || self.Lease == "" {
		return nil
	}
	self.Epoch = epoch
	err := f.writeHostRecord(ctx, self)
	if err == nil {
		f.mu.Lock()
		f.self.Epoch = max(f.self.Epoch, epoch)
		f.mu.Unlock()
	}
	return f.recordStoreResult(err)
}

// markLeaving sets the state of the host to leaving in the store.
func (f *fleet) markLeaving(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.self.State = stateLeaving
	self := f.self
	f.mu.Unlock()
	if self.Lease == "" {
		return nil
	}
	return f.writeHostRecord(ctx, self)
}

// revokeLease revokes the lease.
func (f *fleet) revokeLease(ctx context.Context) {
	f.mu.Lock()
	id := f.lease.ID()
	f.lease.Clear()
	f.mu.Unlock()
	if id != "" {
		_ = f.store.Revoke(ctx, id)
	}
}

// pause waits for d or until ctx ends, whichever comes first.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

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

// Keys and times of the fleet.
const (
	// HostKeyPrefix is the start of the keys of the hosts' own records.
	HostKeyPrefix = "hosts/"
	membersKey    = "members"
	rosterPrefix  = "rosters/"
	// rostersKept is the number of rosters in the store.
	rostersKept = 16
	// watchWait is how long a watch waits.
	watchWait = 20 * time.Second
	// hostListLag is how long the host list is behind at most.
	hostListLag = 30 * time.Second
	// joinsPerSecond is the number of hosts that join in a second when all start
	// at once. Each takes two writes.
	joinsPerSecond = 150
	// storeRetry is the mean wait after a call that failed.
	storeRetry = 500 * time.Millisecond
)

// fleet is a host's place among the hosts: its lease, its own record in the
// store and the record of members.
type fleet struct {
	store store.Service
	self  platform.Member
	time  time.Duration
	adopt func(r record, asked time.Time)
	// cleared returns the last epoch of which the host uses nothing that it
	// gives to others.
	cleared func() int
	list    *store.HostList
	// lag is how long the host list is behind at most.
	lag time.Duration

	// adopting is held while a record is put in force, so that they are in
	// order; mu guards the fields.
	adopting sync.Mutex
	mu       sync.Mutex
	lease    lease.Lease
	covered  string
	// stood is set once the host has stood in a record of members.
	stood    bool
	record   record
	revision int
	since    time.Time
	leaving  bool
	failing  bool
	absent   map[string]time.Time
	view     func() *settings.Resolved
}

// proven reports whether the host can prove at now that it holds the lease
// under which it stands in the record of members.
func (f *fleet) proven(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Valid(now) && f.covered == f.lease.ID()
}

// present returns the record of members in force.
func (f *fleet) present() record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record
}

// storeFailing reports whether the last call to the store failed.
func (f *fleet) storeFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *fleet) note(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict)
	return err
}

// hold is the duty that keeps the lease and the host's record.
func (f *fleet) hold(ctx context.Context) {
	pause(ctx, f.joinDelay(ctx))
	for ctx.Err() == nil {
		f.mu.Lock()
		id, at := f.lease.ID(), f.lease.RenewAt()
		f.mu.Unlock()
		if id == "" {
			if f.note(f.join(ctx)) != nil {
				pause(ctx, rand.N(2*storeRetry))
			}
			continue
		}
		pause(ctx, time.Until(at))
		if ctx.Err() == nil {
			f.renew(ctx, id)
			_ = f.ack(ctx, f.cleared())
		}
	}
}

// joinDelay returns a random wait before the host joins, so that a fleet whose
// hosts all start in the same second does not ask more of the store than it
// bears.
func (f *fleet) joinDelay(ctx context.Context) time.Duration {
	e, err := f.store.Get(ctx, membersKey)
	var m platform.MembershipChange
	if err != nil || json.Unmarshal([]byte(e.Value), &m) != nil || m.Size == 0 {
		return 0
	}
	return rand.N(time.Duration(m.Size) * time.Second / joinsPerSecond)
}

// join takes a new lease and writes the host's record under it.
func (f *fleet) join(ctx context.Context) error {
	sent := time.Now()
	id, err := f.store.Grant(ctx, f.time)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.self.New = new(!f.stood)
	self := f.self
	self.Lease, self.Epoch = id, 0
	f.mu.Unlock()
	if err := f.write(ctx, self); err != nil {
		return err
	}
	f.mu.Lock()
	f.self.Lease, f.self.Epoch = id, 0
	f.lease.Granted(id, sent, f.time)
	f.mu.Unlock()
	return f.read(ctx)
}

func (f *fleet) write(ctx context.Context, m platform.Member) error {
	text, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "daemon: member")
	}
	_, err = f.store.Put(ctx, HostKeyPrefix+m.ID, string(text), store.AnyRevision, m.Lease)
	return err
}

// renew makes the lease last again, and reads the record of members, so that a
// proven lease always stands for a record that is not older than it.
func (f *fleet) renew(ctx context.Context, id string) {
	sent := time.Now()
	f.mu.Lock()
	f.lease.RenewalSent(sent)
	f.mu.Unlock()
	err := f.note(f.store.Renew(ctx, id))
	if errors.Is(err, store.ErrNotFound) {
		f.mu.Lock()
		f.lease.Clear()
		f.mu.Unlock()
		return
	}
	if err == nil {
		err = f.note(f.read(ctx))
	}
	if err == nil {
		f.mu.Lock()
		f.lease.Renewed(sent)
		f.mu.Unlock()
	}
}

// ack says in the store that the host uses no target that the epoch gives to
// others.
func (f *fleet) ack(ctx context.Context, epoch int) error {
	f.mu.Lock()
	self := f.self
	f.mu.Unlock()
	if epoch <= self.Epoch || self.Lease == "" {
		return nil
	}
	self.Epoch = epoch
	err := f.write(ctx, self)
	if err == nil {
		f.mu.Lock()
		f.self.Epoch = max(f.self.Epoch, epoch)
		f.mu.Unlock()
	}
	return f.note(err)
}

// leave marks the host as leaving in the store.
func (f *fleet) leave(ctx context.Context) error {
	f.mu.Lock()
	f.leaving = true
	f.self.State = stateLeaving
	self := f.self
	f.mu.Unlock()
	if self.Lease == "" {
		return nil
	}
	return f.write(ctx, self)
}

// end gives the lease back.
func (f *fleet) end(ctx context.Context) {
	f.mu.Lock()
	id := f.lease.ID()
	f.lease.Clear()
	f.mu.Unlock()
	if id != "" {
		_ = f.store.Revoke(ctx, id)
	}
}

// pause waits for d or until ctx ends.
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

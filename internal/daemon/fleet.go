package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuerill/internal/schema/platform"
	"fescuerill/lease"
	"fescuerill/owner"
	"fescuerill/settings"
	"fescuerill/store"

	"github.com/pkg/errors"
)

// Keys and times of the fleet.
const (
	hostPrefix = "hosts/"
	membersKey = "members"
	// surveys is the number of hosts in the fleet that compare the hosts in the
	// store with the record of members each second.
	surveys = 2
	// surveyEvery is how often a host draws whether it is one of them.
	surveyEvery = time.Second
	// watchWait is how long a watch waits.
	watchWait = 20 * time.Second
	// hostListLag is how long the host list is behind at most.
	hostListLag = 30 * time.Second
	// storeRetry is the mean wait after a call that failed.
	storeRetry = 500 * time.Millisecond
)

// fleet is a host's place among the hosts: its lease, its record in the store
// and the record of members.
type fleet struct {
	store store.Service
	self  platform.Member
	time  time.Duration
	adopt func(m platform.Members, asked time.Time)
	list  *store.HostList
	// lag is how long the host list is behind at most.
	lag time.Duration

	// adopting is held while a record is put in force, so that they are in
	// order; mu guards the fields.
	adopting sync.Mutex
	mu       sync.Mutex
	lease    lease.Lease
	covered  string
	members  platform.Members
	revision int
	since    time.Time
	leaving  bool
	failing  bool
	absent   map[string]time.Time
	view     func() *settings.View
}

// proven reports whether the host can prove at now that it holds the lease
// under which it stands in the record of members.
func (f *fleet) proven(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.Proven(now) && f.covered == f.lease.ID()
}

// present returns the record of members in force.
func (f *fleet) present() platform.Members {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
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
		}
	}
}

// join takes a new lease and writes the host's record under it.
func (f *fleet) join(ctx context.Context) error {
	sent := time.Now()
	id, err := f.store.Grant(ctx, f.time)
	if err != nil {
		return err
	}
	f.mu.Lock()
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
	_, err = f.store.Put(ctx, hostPrefix+m.ID, string(text), store.AnyRevision, m.Lease)
	return err
}

// renew makes the lease last again, and reads the record of members, so that a
// proven lease always stands for a record that is not older than it.
func (f *fleet) renew(ctx context.Context, id string) {
	sent := time.Now()
	f.mu.Lock()
	f.lease.Asked(sent)
	f.mu.Unlock()
	err := f.note(f.store.Renew(ctx, id))
	if errors.Is(err, store.ErrNotFound) {
		f.mu.Lock()
		f.lease.Lost()
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

// read takes the record of members from the store.
func (f *fleet) read(ctx context.Context) error {
	asked := time.Now()
	e, err := f.store.Get(ctx, membersKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.take(e, asked)
}

func (f *fleet) take(e store.Entry, asked time.Time) error {
	var m platform.Members
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	f.install(m, e.Revision, asked)
	return nil
}

// install puts a record of members in force if it is newer.
func (f *fleet) install(m platform.Members, revision int, asked time.Time) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	news := m.Epoch > f.members.Epoch
	if news {
		f.members = m
		f.since = asked
	}
	f.mu.Unlock()
	if news {
		f.adopt(m, asked)
		f.cover(m)
	}
}

// cover notes under which lease the host stands in the record.
func (f *fleet) cover(m platform.Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.covered = ""
	if i := find(m.Hosts, f.self.ID); i >= 0 && m.Hosts[i].Incarnation == f.self.Incarnation {
		f.covered = m.Hosts[i].Lease
	}
}

func find(hosts []platform.Member, id string) int {
	return slices.IndexFunc(hosts, func(m platform.Member) bool { return m.ID == id })
}

// watch is the duty that learns of new records of members.
func (f *fleet) watch(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		after := f.revision
		f.mu.Unlock()
		asked := time.Now()
		e, err := f.store.Watch(ctx, membersKey, after, watchWait)
		if err == nil {
			err = f.take(e, asked)
		}
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			pause(ctx, rand.N(2*storeRetry))
		}
	}
}

// survey is the duty that compares the hosts in the store with the record of
// members. Each second about two hosts of the fleet do so.
func (f *fleet) survey(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, surveyEvery/2+rand.N(surveyEvery))
		n := len(f.present().Hosts)
		if ctx.Err() == nil && (n == 0 || rand.IntN(n) < surveys) {
			_ = f.note(f.compare(ctx))
		}
	}
}

// compare writes a new record of members when the hosts or the targets have
// changed.
func (f *fleet) compare(ctx context.Context) error {
	v := f.view()
	if v == nil {
		return nil
	}
	if err := f.read(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	old, revision, since := f.members, f.revision, f.since
	f.mu.Unlock()
	listed, err := f.listed(ctx)
	if err != nil {
		return err
	}
	settled := old.Epoch > 0 && time.Since(since) >= f.time
	next, changed := nextMembers(old, listed, v, settled)
	if !changed {
		return nil
	}
	next.Doubted = f.stillDoubted(ctx, old, next)
	text, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	asked := time.Now()
	e, err := f.store.Put(ctx, membersKey, string(text), revision, "")
	if err != nil {
		return err
	}
	return f.take(e, asked)
}

// nextMembers returns the record of members that follows old when the listed
// hosts have leases, and whether it differs.
func nextMembers(old platform.Members, listed []platform.Member, v *settings.View, settled bool) (platform.Members, bool) {
	next := platform.Members{Epoch: old.Epoch + 1, Fingerprint: v.Fingerprint(), Hosts: []platform.Member{}}
	clean := true
	for _, m := range listed {
		if i := find(old.Hosts, m.ID); m.State == stateLeaving || i >= 0 && old.Hosts[i].Lease == m.Lease {
			clean = false
		}
		if m.State == stateLive && !v.DataCentreOut(m.DataCentre) {
			next.Hosts = append(next.Hosts, m)
		}
	}
	compareHosts(old, listed, &next)
	next.Settled, next.Clean = &settled, &clean
	changed := len(next.Joined)+len(next.Renewed)+len(next.Left) > 0 || next.Fingerprint != old.Fingerprint
	return next, changed && len(next.Hosts) > 0
}

// compareHosts fills in which hosts have come and gone since old.
func compareHosts(old platform.Members, listed []platform.Member, next *platform.Members) {
	slices.SortFunc(next.Hosts, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
	for _, m := range next.Hosts {
		switch i := find(old.Hosts, m.ID); {
		case i < 0:
			next.Joined = append(next.Joined, m.ID)
		case old.Hosts[i].Lease != m.Lease:
			next.Renewed = append(next.Renewed, m.ID)
		}
	}
	for _, m := range old.Hosts {
		i := find(listed, m.ID)
		if find(next.Hosts, m.ID) < 0 {
			next.Left = append(next.Left, m)
		}
		if i < 0 || listed[i].Lease != m.Lease {
			next.Lapsed = append(next.Lapsed, m.ID)
		}
	}
}

// stillDoubted returns the hosts that left under old or before, do not stand
// in next and are not known to have ended.
func (f *fleet) stillDoubted(ctx context.Context, old, next platform.Members) []string {
	var out []string
	for _, id := range old.Doubted {
		if find(next.Hosts, id) < 0 {
			out = append(out, id)
		}
	}
	for _, m := range next.Left {
		out = append(out, m.ID)
	}
	if len(out) == 0 {
		return nil
	}
	ended := f.ended(ctx, out)
	return slices.DeleteFunc(out, func(id string) bool { return ended[id] })
}

// ended returns those of the hosts that the host list has left out for longer
// than it lags.
func (f *fleet) ended(ctx context.Context, ids []string) map[string]bool {
	out := map[string]bool{}
	if f.list == nil {
		return out
	}
	listed, err := f.list.Hosts(ctx)
	if err != nil {
		return out
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.absent == nil {
		f.absent = map[string]time.Time{}
	}
	for _, id := range ids {
		switch since, ok := f.absent[id]; {
		case listed[id] != "":
			delete(f.absent, id)
		case !ok:
			f.absent[id] = now
		default:
			out[id] = now.Sub(since) >= f.lag
		}
	}
	return out
}

// ack says in the store that the host uses no target that the epoch gives to
// others.
func (f *fleet) ack(ctx context.Context, epoch int) error {
	f.mu.Lock()
	if epoch <= f.self.Epoch {
		f.mu.Unlock()
		return nil
	}
	self := f.self
	self.Epoch = epoch
	f.mu.Unlock()
	if self.Lease == "" {
		return nil
	}
	err := f.write(ctx, self)
	if err == nil {
		f.mu.Lock()
		f.self.Epoch = max(f.self.Epoch, epoch)
		f.mu.Unlock()
	}
	return f.note(err)
}

// surveyed asks the store for the epoch in force and what the hosts have
// acknowledged.
func (f *fleet) surveyed(ctx context.Context) (owner.Survey, error) {
	s := owner.Survey{Asked: time.Now(), Acked: map[string]int{}}
	if err := f.note(f.read(ctx)); err != nil {
		return s, err
	}
	s.Epoch = f.present().Epoch
	listed, err := f.listed(ctx)
	for _, m := range listed {
		s.Acked[m.ID] = m.Epoch
	}
	return s, err
}

// listed returns the hosts that have a lease.
func (f *fleet) listed(ctx context.Context) ([]platform.Member, error) {
	entries, err := f.store.List(ctx, hostPrefix)
	if err != nil {
		return nil, f.note(err)
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
	f.lease.Lost()
	f.mu.Unlock()
	if id != "" {
		_ = f.store.Revoke(ctx, id)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

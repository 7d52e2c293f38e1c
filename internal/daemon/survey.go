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

// Times of the surveys.
const (
	// surveys is the number of hosts in the fleet that compare the hosts in the
	// store with the record of members each second.
	surveys = 1
	// surveyEvery is how often a host draws whether it is one of them.
	surveyEvery = time.Second
)

// read takes the record of members from the store if it is newer than the one
// known; the answer is empty when it is not.
func (f *fleet) read(ctx context.Context) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	asked := time.Now()
	e, err := f.store.Watch(ctx, membersKey, after, 0)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.take(ctx, e, asked)
}

// take puts the record of an entry in force if it is newer. The roster is read
// only when it does not follow from the one that is known.
func (f *fleet) take(ctx context.Context, e store.Entry, asked time.Time) error {
	var m platform.MembershipChange
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	r, err := f.complete(ctx, m)
	if err != nil {
		return err
	}
	f.install(r, e.Revision, asked)
	return nil
}

func (f *fleet) complete(ctx context.Context, m platform.MembershipChange) (record, error) {
	present := f.present()
	if m.Epoch <= present.Epoch {
		return present, nil
	}
	if r, err := present.follow(m); err == nil {
		return r, nil
	}
	e, err := f.store.Get(ctx, rosterKey(m.Epoch))
	if err != nil {
		return record{}, err
	}
	return whole(m, e.Value)
}

// install puts a record of members in force if it is newer.
func (f *fleet) install(r record, revision int, asked time.Time) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	news := r.Epoch > f.record.Epoch
	if news {
		f.record = r
		f.since = asked
	}
	f.mu.Unlock()
	if news {
		f.adopt(r, asked)
		f.cover(r)
	}
}

// cover notes under which lease the host stands in the record.
func (f *fleet) cover(r record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.covered = ""
	if h, ok := r.host(f.self.ID); ok && h.Incarnation == f.self.Incarnation {
		f.covered = h.Lease
		f.stood = true
	}
}

// watchMembers waits for a record of members that is newer than the one known.
func (f *fleet) watchMembers(ctx context.Context) error {
	f.mu.Lock()
	after := f.revision
	f.mu.Unlock()
	asked := time.Now()
	e, err := f.store.Watch(ctx, membersKey, after, watchWait)
	if err == nil {
		return f.take(ctx, e, asked)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// survey is the duty that compares the hosts in the store with the record of
// members. Each second about one host of the fleet does so.
func (f *fleet) survey(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, surveyEvery/2+rand.N(surveyEvery))
		n := len(f.present().hosts)
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
	old, revision, since := f.record, f.revision, f.since
	f.mu.Unlock()
	listed, err := f.listed(ctx)
	if err != nil {
		return err
	}
	settled := old.Epoch > 0 && time.Since(since) >= f.time
	next, changed := old.next(listed, v.Fingerprint(), v.DataCentreEvacuated, settled)
	if !changed {
		return nil
	}
	next.Doubted = f.stillDoubted(ctx, old, next)
	return f.put(ctx, next, revision)
}

// rosterKey returns the key of the roster of an epoch. Keys are used again in
// turn; what is read is checked by the sum in the record.
func rosterKey(epoch int) string { return rosterPrefix + strconv.Itoa(epoch%rostersKept) }

// put writes a record, its roster first. Of two hosts that write the same epoch
// at once one loses the swap of the record; should its roster be the one that
// stands, the hosts that need it wait for the next epoch.
func (f *fleet) put(ctx context.Context, r record, revision int) error {
	roster, sum, err := rosterText(r.hosts)
	if err != nil {
		return err
	}
	r.Sum, r.Size = sum, len(r.hosts)
	text, err := json.Marshal(r.MembershipChange)
	if err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	if _, err := f.store.Put(ctx, rosterKey(r.Epoch), roster, store.AnyRevision, ""); err != nil {
		return err
	}
	asked := time.Now()
	e, err := f.store.Put(ctx, membersKey, string(text), revision, "")
	if err != nil {
		return err
	}
	f.install(r, e.Revision, asked)
	return nil
}

// stillDoubted returns the hosts that left under old or before, do not stand
// in next and are not known to have ended.
func (f *fleet) stillDoubted(ctx context.Context, old, next record) []string {
	var out []string
	for _, id := range old.Doubted {
		if find(next.hosts, id) < 0 && !slices.Contains(next.Left, id) {
			out = append(out, id)
		}
	}
	out = append(out, next.Left...)
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
	listed, err := f.list.HostStates(ctx)
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

// surveyed asks the store for the epoch in force and what the hosts have
// acknowledged.
func (f *fleet) surveyed(ctx context.Context) (owner.StoreView, error) {
	s := owner.StoreView{ReadAt: time.Now(), AckedEpochs: map[string]int{}}
	if err := f.note(f.read(ctx)); err != nil {
		return s, err
	}
	s.Epoch = f.present().Epoch
	listed, err := f.listed(ctx)
	for _, m := range listed {
		s.AckedEpochs[m.ID] = m.Epoch
	}
	return s, err
}

// lookedUp asks the store what the named hosts have acknowledged. It proves
// nothing new.
func (f *fleet) lookedUp(ctx context.Context, ids []string) owner.StoreView {
	s := owner.StoreView{AckedEpochs: map[string]int{}}
	for _, id := range ids {
		var m platform.Member
		e, err := f.store.Get(ctx, HostKeyPrefix+id)
		if f.note(err) == nil && json.Unmarshal([]byte(e.Value), &m) == nil {
			s.AckedEpochs[id] = m.Epoch
		}
	}
	return s
}

// listed returns the hosts that have a lease.
func (f *fleet) listed(ctx context.Context) ([]platform.Member, error) {
	entries, err := f.store.List(ctx, HostKeyPrefix)
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

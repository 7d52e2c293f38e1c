package feed

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/stats"
)

// ErrCompacted is returned for changes that the store no longer has.
var ErrCompacted = errors.New("history is no longer available")

const (
	// listTimeout bounds the reading of everything.
	listTimeout = 3 * time.Second
	// watchWait is how long the store may wait for a change.
	watchWait = time.Second
	// callTimeout bounds a call beyond the time that it may wait.
	callTimeout = 700 * time.Millisecond
	// goneMost is the number of deleted items that are remembered for others.
	goneMost = 1024
)

// Item is an item of the store. What it says is known to the Sink alone.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	// Fingerprint is the same for values of a key that say the same but for heartbeats;
	// empty if each value is news. Other hosts are told of an item only when its
	// mark changes.
	Fingerprint string
	// told is the revision at which the mark changed.
	told int64
}

// Source is the platform's store.
type Source interface {
	// List returns all items and the revision up to which they are known.
	List(ctx context.Context) ([]Item, int64, error)
	// Watch returns the changes after a revision as soon as there are any, and
	// none after the wait. The error is ErrForgotten if they are not to be had.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Item, int64, error)
}

// Update is what another host knows of the store.
type Update struct {
	Items    []Item
	Revision int64
	// Full says that Items are all there are.
	Full bool
	// Age is how long ago the store answered that host.
	Age time.Duration
	// LastOutage is when the store had trouble, or zero.
	LastOutage time.Time
}

// Peers are the other hosts.
type Peers interface {
	// HasReader reports whether another host reads the store for this one.
	HasReader() bool
	// HasLive reports whether another host can be asked.
	HasLive() bool
	// FetchUpdate asks the guide, or any host if there is none.
	FetchUpdate(ctx context.Context, after int64, whole bool) (Update, error)
}

// Sink takes what is read.
type Sink interface {
	// Apply takes items in the order of their revisions. whole says that there
	// are no others. trouble is when the store last had trouble for the host that
	// read them, or zero.
	Apply(now time.Time, items []Item, whole bool, trouble time.Time)
}

// Feed follows the store. Reset it before use. Run it in one goroutine; the
// other methods may be called from several.
type Feed struct {
	source Source
	peers  Peers
	sink   Sink
	log    *slog.Logger
	tally  *stats.Registry

	mu     sync.Mutex
	cursor Cursor
	items  map[string]Item
	gone   []Item
	floor  int64
	lost   bool
	// turned is when the store was last lost or regained.
	turned time.Time
}

// Reset makes the feed one that has read nothing.
func (f *Feed) Reset(source Source, peers Peers, sink Sink, log *slog.Logger, t *stats.Registry) {
	f.source, f.peers, f.sink, f.log, f.tally = source, peers, sink, log, t
	f.items = map[string]Item{}
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		guide, peers := f.peers.HasReader(), f.peers.HasLive()
		f.mu.Lock()
		action, at := f.cursor.Next(time.Now(), guide, peers)
		after, listed := f.cursor.Revision(), f.cursor.Listed()
		f.mu.Unlock()
		switch action {
		case None:
			sleep(ctx, time.Until(at))
		case List:
			f.list(ctx)
		case Watch:
			f.watch(ctx, after)
		case Ask:
			f.ask(ctx, after, !listed)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, time.Millisecond))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (f *Feed) list(ctx context.Context) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := f.source.List(call)
	f.tally.Add("store-lists", 1)
	if err != nil {
		f.failed(ctx, "list", began, err)
		return
	}
	f.reached(began, revision)
	f.take(items, true, f.trouble())
}

func (f *Feed) watch(ctx context.Context, after int64) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	items, revision, err := f.source.Watch(call, after, watchWait)
	f.tally.Add("store-watches", 1)
	switch {
	case errors.Is(err, ErrCompacted):
		f.tally.Add("store-history-forgotten", 1)
		f.log.Info("store history forgotten", "revision", after)
		f.mu.Lock()
		f.cursor.Forgotten(time.Now())
		f.mu.Unlock()
	case err != nil:
		f.failed(ctx, "watch", began, err)
	default:
		f.reached(began, revision)
		f.take(items, false, f.trouble())
	}
}

func (f *Feed) ask(ctx context.Context, after int64, whole bool) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	told, err := f.peers.FetchUpdate(call, after, whole)
	f.tally.Add("store-asked-of-hosts", 1)
	now := time.Now()
	if err != nil {
		f.tally.Add("store-unanswered-by-hosts", 1)
		f.log.Debug("host did not tell of the store", "error", err)
		f.mu.Lock()
		f.cursor.Untold(now)
		f.mu.Unlock()
		return
	}
	f.mu.Lock()
	older := told.Revision < f.cursor.Revision()
	f.cursor.Told(began, now, told.Revision, told.Age, told.LastOutage)
	f.mu.Unlock()
	if !older {
		f.take(told.Items, told.Full, told.LastOutage)
	}
}

func (f *Feed) failed(ctx context.Context, call string, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.tally.Add("store-failures", 1)
	f.mu.Lock()
	f.cursor.Failed(now)
	age, failures := now.Sub(f.cursor.Heard()), f.cursor.failures
	news := !f.lost && failures >= troubleAfter
	f.lost = f.lost || news
	if news {
		f.turned = now
	}
	f.mu.Unlock()
	if news {
		f.log.Warn("store lost", "call", call, "took-ms", now.Sub(began).Milliseconds(), "heard-ms", age.Milliseconds(), "error", err)
	}
}

func (f *Feed) reached(began time.Time, revision int64) {
	f.mu.Lock()
	f.cursor.Read(began, time.Now(), revision)
	back := f.lost
	f.lost = false
	if back {
		f.turned = time.Now()
	}
	f.mu.Unlock()
	if back {
		f.log.Info("store regained", "revision", revision)
	}
}

// trouble returns when the store last had trouble, as this host saw it.
func (f *Feed) trouble() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor.Trouble()
}

// take keeps the items for other hosts and hands on those that are news. trouble
// is when the store last had trouble for whoever read them.
func (f *Feed) take(items []Item, whole bool, trouble time.Time) {
	now := time.Now()
	sort.SliceStable(items, func(i, j int) bool { return items[i].Revision < items[j].Revision })
	f.mu.Lock()
	news := f.keep(items, whole)
	f.mu.Unlock()
	f.sink.Apply(now, news, whole, trouble)
}

func (f *Feed) keep(items []Item, whole bool) []Item {
	var news []Item
	if whole {
		news = f.vanished(items)
		// What came and vanished before is not known here.
		f.floor = max(f.floor, f.cursor.Revision())
	}
	for _, i := range items {
		if i.Revision <= f.items[i.Key].Revision {
			continue
		}
		news = append(news, i)
		if i.Deleted {
			delete(f.items, i.Key)
			f.remember(i)
			continue
		}
		i.told = i.Revision
		if old, ok := f.items[i.Key]; ok && i.Fingerprint != "" && i.Fingerprint == old.Fingerprint {
			i.told = old.told
		}
		f.items[i.Key] = i
	}
	return news
}

// vanished returns the items that are known but not among all there are.
func (f *Feed) vanished(all []Item) []Item {
	present := map[string]bool{}
	for _, i := range all {
		present[i.Key] = true
	}
	var news []Item
	for key, i := range f.items {
		if !present[key] {
			gone := Item{Key: key, Revision: max(i.Revision, f.cursor.Revision()), Deleted: true}
			news = append(news, gone)
			delete(f.items, key)
			f.remember(gone)
		}
	}
	return news
}

func (f *Feed) remember(i Item) {
	f.gone = append(f.gone, i)
	if n := len(f.gone) - goneMost; n > 0 {
		f.floor = f.gone[n-1].Revision
		f.gone = f.gone[n:]
	}
}

// UpdateSince returns what this host knows of the store after a revision, for another
// host. It reports false if it knows nothing.
func (f *Feed) UpdateSince(now time.Time, after int64, whole bool) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursor.Listed() {
		return Update{}, false
	}
	t := Update{
		Revision: f.cursor.Revision(), Full: whole || after < f.floor,
		Age: now.Sub(f.cursor.Heard()), LastOutage: f.cursor.SourceTrouble(),
	}
	for _, i := range f.items {
		if t.Full || i.told > after {
			t.Items = append(t.Items, i)
		}
	}
	for _, i := range f.gone {
		if _, back := f.items[i.Key]; !t.Full && i.Revision > after && !back {
			t.Items = append(t.Items, i)
		}
	}
	return t, true
}

// State is how well the store is known.
type State struct {
	// Revision is up to which the store is known, and Age how long ago that was.
	Revision int64
	Age      time.Duration
	// Reachable reports whether the store answers, and Since when it was last lost or
	// regained; zero if it never was.
	Reachable bool
	ChangedAt time.Time
}

// State returns how well the store is known.
func (f *Feed) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{
		Revision: f.cursor.Revision(), Age: now.Sub(f.cursor.Heard()), Reachable: f.cursor.Reached(), ChangedAt: f.turned,
	}
}

package feed

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/stats"
)

// ErrCompacted is returned for changes that the store has removed from its history.
var ErrCompacted = errors.New("requested revision has been compacted")

// ErrTooLong is returned for changes that are too many to be read in one answer.
var ErrTooLong = errors.New("changes are too long for one answer")

// ErrUnreachable is returned by a Source for a call that did not reach the store.
var ErrUnreachable = errors.New("store is unreachable")

const (
	// listTimeout is the time limit of a call that lists all items.
	listTimeout = 3 * time.Second
	// watchWait is how long the store waits for a change before it answers. With
	// watchInterval, the time between two answers stays below maxUpdateAge.
	watchWait = 400 * time.Millisecond
	// callTimeout is the time limit of a call, without watchWait.
	callTimeout = 700 * time.Millisecond
)

// Item is an item of the store. Only the Sink interprets its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
	// Lost is set, beside Deleted, if the item was not deleted by anyone but is missing from the
	// copy from which the store has come back.
	Lost bool
	// Unconfirmed is set if the store has come back from a copy with the item. The copy may be
	// older than what was known of it, or than its deletion.
	Unconfirmed bool
	// Fingerprint is equal for values of a key that differ only in heartbeats; it is
	// empty if each value counts as a change. An update for another host contains an
	// item only if its fingerprint has changed.
	Fingerprint string
	// fingerprintRevision is the revision at which the fingerprint last changed.
	fingerprintRevision int64
}

// Source is the platform's store. The errors of its calls are ErrUnreachable if a call did
// not reach the store.
type Source interface {
	// List returns all items and the position up to which they contain all changes.
	List(ctx context.Context) ([]Item, Position, error)
	// Watch returns the changes after a revision and the position up to which they are
	// complete, as soon as there are any; none if there are none during the wait. The
	// error is ErrCompacted if the changes are no longer available, and ErrTooLong if they
	// cannot be read in one answer. If the position is not in the era of the revision, the
	// changes have gaps.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]Item, Position, error)
	// Era returns the era of the store as of its last answer to any call, or 0 if it has not
	// stated one. The store begins a new era when it comes back from a copy.
	Era() int64
}

// Peers provides updates from the other hosts.
type Peers interface {
	// HasReader reports whether a designated reader, another host, reads the store on
	// behalf of this one.
	HasReader() bool
	// HasLive reports whether any other host is alive.
	HasLive() bool
	// FetchUpdate sends a request to the designated reader or, if there is none, to any host.
	// A full update is requested from any host.
	FetchUpdate(ctx context.Context, r Request) (Update, error)
}

// Sink receives the items that have changed.
type Sink interface {
	// Apply applies changed items in the order of their revisions. full is set if they
	// come from a list of all items. lastOutage is the time of the last store outage for
	// the host that read them from the store, or zero.
	Apply(now time.Time, items []Item, full bool, lastOutage time.Time)
}

// Feed follows the store. It must be Reset before use. Run must be called from one
// goroutine; the other methods are safe for concurrent use.
type Feed struct {
	source Source
	peers  Peers
	sink   Sink
	log    *slog.Logger
	stats  *stats.Registry

	mu         sync.Mutex
	cursor     Cursor
	items      map[string]Item
	tombstones []Item
	// oldestRevision is the revision from which tombstones has all deletions. A host at
	// an earlier revision, or in an earlier era, needs a full update.
	oldestRevision int64
	storeLost      bool
	// changedAt is when the store was last lost or regained.
	changedAt time.Time
}

// Reset initialises the feed, without items.
func (f *Feed) Reset(source Source, peers Peers, sink Sink, log *slog.Logger, registry *stats.Registry) {
	f.source, f.peers, f.sink, f.log, f.stats = source, peers, sink, log, registry
	f.items = map[string]Item{}
}

// Run follows the store until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.noteEra(f.source.Era())
		hasReader, hasPeers := f.peers.HasReader(), f.peers.HasLive()
		f.mu.Lock()
		action, at := f.cursor.Next(time.Now(), hasReader, hasPeers)
		request := Request{After: f.cursor.Position(), Full: !f.cursor.Listed()}
		f.mu.Unlock()
		switch action {
		case None:
			sleep(ctx, time.Until(at))
		case List:
			f.list(ctx)
		case Watch:
			f.watch(ctx, request.After)
		case Fetch:
			f.fetch(ctx, request)
		}
	}
}

// noteEra takes notice of an era that the store has stated in an answer.
func (f *Feed) noteEra(era int64) {
	f.mu.Lock()
	before, listed := f.cursor.Position(), f.cursor.Listed()
	isNew := era > f.cursor.NewestEra()
	f.cursor.EraSeen(time.Now(), era)
	f.mu.Unlock()
	if isNew && listed {
		f.stats.Add("store-eras-begun", 1)
		f.log.Info("store era begun", "known", before, "era", era)
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
	items, position, err := f.source.List(call)
	f.stats.Add("store-lists", 1)
	if err != nil {
		f.storeFailed(ctx, "list", began, err)
		return
	}
	f.storeReplied(ctx, began, items, position, true)
}

func (f *Feed) watch(ctx context.Context, after Position) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
	defer cancel()
	items, position, err := f.source.Watch(call, after.Revision(), watchWait)
	f.stats.Add("store-watches", 1)
	switch {
	case errors.Is(err, ErrCompacted):
		f.stats.Add("store-history-forgotten", 1)
		f.log.Info("store history forgotten", "known", after)
		f.mu.Lock()
		f.cursor.Compacted(time.Now())
		f.mu.Unlock()
	case errors.Is(err, ErrTooLong):
		f.stats.Add("store-changes-too-long", 1)
		f.log.Info("store changes too long", "known", after, "error", err)
		f.mu.Lock()
		f.cursor.ChangesMissed(time.Now())
		f.mu.Unlock()
	case err != nil:
		f.storeFailed(ctx, "watch", began, err)
	case position.Era() > after.Era():
		f.noteEra(position.Era())
	default:
		f.storeReplied(ctx, began, items, position, false)
	}
}

func (f *Feed) fetch(ctx context.Context, request Request) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	update, err := f.peers.FetchUpdate(call, request)
	f.stats.Add("store-asked-of-hosts", 1)
	now := time.Now()
	if err != nil {
		f.stats.Add("store-unanswered-by-hosts", 1)
		f.log.Debug("fetch store update from other host failed", "error", err)
		f.mu.Lock()
		f.cursor.PeerFailed(now)
		f.mu.Unlock()
		return
	}
	if before := request.After; update.Position.Era() < before.Era() || update.Position.Era() > before.Era() && !update.Full {
		f.peerBehind(began, now, before, update.Position)
		return
	}
	f.mu.Lock()
	before := f.cursor.Position()
	older := update.Position.Before(before)
	f.cursor.PeerReplied(began, now, update.Position, update.Age, update.LastOutage)
	var changed []Item
	if !older {
		changed = f.merge(update.Items, before, update.Full)
	}
	regained := f.cursor.Reachable() && f.noteRegained(now)
	f.mu.Unlock()
	if regained {
		f.log.Info("store regained", "position", update.Position, "through", "reader")
	}
	f.logNewEra(before, update.Position, "host")
	if !older {
		f.sink.Apply(now, changed, update.Full, update.LastOutage)
	}
}

// peerBehind ignores an update of another host whose items are of an earlier era.
func (f *Feed) peerBehind(began, now time.Time, known, update Position) {
	f.stats.Add("updates-of-earlier-era", 1)
	f.log.Debug("update of another host is of an earlier era", "known", known, "update", update)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor.PeerBehind(began, now)
}

// logNewEra logs that the items of a new era have been read.
func (f *Feed) logNewEra(before, now Position, through string) {
	if before.Era() < now.Era() && before != (Position{}) {
		f.log.Info("store era read", "known", before, "position", now, "through", through)
	}
}

func (f *Feed) storeFailed(ctx context.Context, call string, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	f.stats.Add("store-failures", 1)
	f.mu.Lock()
	f.cursor.StoreFailed(now, errors.Is(err, ErrUnreachable))
	age, failures := now.Sub(f.cursor.LastReply()), f.cursor.failures
	becameLost := !f.storeLost && failures >= outageThreshold
	f.storeLost = f.storeLost || becameLost
	if becameLost {
		f.changedAt = now
	}
	f.mu.Unlock()
	if becameLost {
		f.log.Warn("store lost", "call", call, "took-ms", now.Sub(began).Milliseconds(), "heard-ms", age.Milliseconds(), "error", err)
	}
}

// storeReplied takes over an answer of the store: all items if full is set, or the
// changes, up to a position. An answer of an earlier era than the known one counts as failed.
func (f *Feed) storeReplied(ctx context.Context, began time.Time, items []Item, position Position, full bool) {
	now := time.Now()
	f.mu.Lock()
	before := f.cursor.Position()
	if position.Era() < before.Era() {
		f.mu.Unlock()
		f.stats.Add("store-answers-of-earlier-era", 1)
		f.storeFailed(ctx, "era", began, errors.Errorf("answer at position %s, known is %s", position, before))
		return
	}
	f.cursor.StoreReplied(began, now, position)
	changed := f.merge(items, before, full)
	lastOutage := f.cursor.LastOutage()
	regained := f.noteRegained(now)
	f.mu.Unlock()
	if regained {
		f.log.Info("store regained", "position", position)
	}
	f.logNewEra(before, position, "store")
	f.sink.Apply(now, changed, full, lastOutage)
}

// noteRegained records that the store is reached and reports whether it was lost. The mutex
// must be held.
func (f *Feed) noteRegained(now time.Time) bool {
	regained := f.storeLost
	f.storeLost = false
	if regained {
		f.changedAt = now
	}
	return regained
}

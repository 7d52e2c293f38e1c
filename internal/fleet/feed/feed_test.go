package feed_test

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/stats"
)

// sink stores the values of the items that were applied.
type sink struct {
	mu         sync.Mutex
	values     map[string]string
	lastOutage time.Time
}

func (s *sink) Apply(_ time.Time, items []feed.Item, _ bool, lastOutage time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOutage = lastOutage
	for _, i := range items {
		if i.Deleted {
			delete(s.values, i.Key)
			continue
		}
		s.values[i.Key] = string(i.Value)
	}
}

func (s *sink) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// peer is another host, which may be the designated reader, or none.
type peer struct {
	feed   *feed.Feed
	reader bool
}

func (p *peer) HasReader() bool { return p.reader }
func (p *peer) HasLive() bool   { return p.feed != nil }
func (p *peer) FetchUpdate(_ context.Context, r feed.Request) (feed.Update, error) {
	update, ok := p.feed.UpdateSince(time.Now(), r)
	if !ok {
		return feed.Update{}, errors.New("no list has been read")
	}
	return update, nil
}

// replaceableReader is a designated reader that the test replaces by another host.
type replaceableReader struct {
	atomic.Pointer[feed.Feed]
}

func (r *replaceableReader) HasReader() bool { return true }
func (r *replaceableReader) HasLive() bool   { return true }
func (r *replaceableReader) FetchUpdate(ctx context.Context, request feed.Request) (feed.Update, error) {
	p := peer{feed: r.Load()}
	return p.FetchUpdate(ctx, request)
}

type follower struct {
	feed.Feed
	sink sink
}

func newFollower(source feed.Source, p feed.Peers) *follower {
	f := &follower{sink: sink{values: map[string]string{}}}
	f.Reset(source, p, &f.sink, slog.New(slog.DiscardHandler), &stats.Registry{})
	return f
}

func follow(ctx context.Context, source feed.Source, p feed.Peers) *follower {
	f := newFollower(source, p)
	go f.Run(ctx)
	return f
}

func TestFeedFollowsChangesThroughOutageAndCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("a", "1")
		f := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, "1", f.sink.get("a"))

		s.write("a", "2")
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "2", f.sink.get("a"))

		s.setFaults(true, false)
		time.Sleep(10 * time.Second)
		s.write("a", "3")
		s.setFaults(false, false)
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "3", f.sink.get("a"))

		s.write("b", "1")
		time.Sleep(1100 * time.Millisecond)
		s.setFaults(false, true)
		s.write("b", "")
		s.write("a", "4")
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, "4", f.sink.get("a"))
		assert.Empty(t, f.sink.get("b"), "an item missing from the list is deleted")
	})
}

// TestFeedListsItemsIfChangesAreTooLong guards against hosts that request the same changes, and
// more of them, for ever, because those fit into no answer. They are no outage of the store.
func TestFeedListsItemsIfChangesAreTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}, maxChanges: 4}
		s.write("a", "1")
		f := follow(ctx, s, &peer{})
		g := follow(ctx, s, &peer{feed: &f.Feed, reader: true})
		for range 3 {
			time.Sleep(1100 * time.Millisecond)
			s.write("b", "1")
			for n := range 5 {
				s.write("a", strconv.Itoa(n))
			}
			s.write("b", "")
			time.Sleep(1700 * time.Millisecond)
			for _, host := range []*follower{f, g} {
				assert.Equal(t, "4", host.sink.get("a"))
				assert.Empty(t, host.sink.get("b"))
				assert.Zero(t, host.sink.lastOutage)
			}
			s.write("a", "5")
			time.Sleep(1700 * time.Millisecond)
			assert.Equal(t, "5", f.sink.get("a"), "changes that fit are read as before")
		}
		assert.Equal(t, 5, s.lists, "each host at its start, and the reader each time")
	})
}

func TestHostWithoutStoreStartsFromOtherHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("a", "1")
		other := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		unreachable := &store{content: content{items: map[string]feed.Item{}}, down: true}
		f := follow(ctx, unreachable, &peer{feed: &other.Feed})
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, "1", f.sink.get("a"))

		s.write("a", "2")
		s.write("b", "1")
		s.write("b", "")
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, "2", f.sink.get("a"))
		assert.Empty(t, f.sink.get("b"))
		assert.True(t, f.sink.lastOutage.IsZero(), "the store had no outage for the other host")
	})
}

func TestHostsWithReaderMakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		reader := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		ownStore := &store{content: content{items: map[string]feed.Item{}}}
		f := follow(ctx, ownStore, &peer{feed: &reader.Feed, reader: true})
		for n := range 30 {
			s.write("a", time.Duration(n).String())
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, time.Duration(29).String(), f.sink.get("a"))
		assert.LessOrEqual(t, ownStore.calls, 1, "only the first list")
	})
}

// waitingStore is a store whose watches wait for a change.
type waitingStore struct {
	store
}

func (s *waitingStore) Watch(ctx context.Context, after int64, wait time.Duration) ([]feed.Item, feed.Position, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		changed, position, err := s.store.Watch(ctx, after, wait)
		if len(changed) > 0 || err != nil || ctx.Err() != nil || !time.Now().Before(deadline) {
			return changed, position, err
		}
	}
}

// TestHostsWithReaderMakeNoCallsWhileStoreIsQuiet has few changes, so that a watch returns
// at once after one of them and the next one waits in vain. The other host requests updates
// shortly before the reader has an answer. They must never be so old that it, and all others
// with it, reads the store itself.
func TestHostsWithReaderMakeNoCallsWhileStoreIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &waitingStore{store{content: content{items: map[string]feed.Item{}}}}
		reader := follow(ctx, s, &peer{})
		time.Sleep(480 * time.Millisecond)
		ownStore := &store{content: content{items: map[string]feed.Item{}}}
		follow(ctx, ownStore, &peer{feed: &reader.Feed, reader: true})
		for n := range 60 {
			s.write("a", time.Duration(n).String())
			time.Sleep(2700 * time.Millisecond)
		}
		assert.LessOrEqual(t, ownStore.calls, 1, "only the first list")
	})
}

// TestTargetsThatReturnAfterOutageAreKnownSoon replays the return of a store that has lost
// the entries of all targets in an outage. The targets register again within two seconds,
// as the platform promises, while all hosts are new and callers wait. Each target must be
// known within 400 ms to a host that gets its updates from a reader.
func TestTargetsThatReturnAfterOutageAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &waitingStore{store{content: content{items: map[string]feed.Item{}}}}
		s.setFaults(true, false)
		reader := follow(ctx, s, &peer{})
		f := follow(ctx, s, &peer{feed: &reader.Feed, reader: true})
		time.Sleep(5 * time.Second)
		s.setFaults(false, false)
		time.Sleep(time.Second)
		for n := range 20 {
			key := time.Duration(n).String()
			s.write(key, "ready")
			time.Sleep(100 * time.Millisecond)
			if n >= 4 {
				assert.Equal(t, "ready", f.sink.get(time.Duration(n-3).String()), n)
			}
		}
	})
}

// TestHostsWithReaderMakeNoCallsAfterCompaction lets the store compact its history while a
// reader serves other hosts. The reader lists all items again; the others wait for it.
func TestHostsWithReaderMakeNoCallsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("a", "1")
		s.write("b", "1")
		reader := follow(ctx, s, &peer{})
		time.Sleep(300 * time.Millisecond)
		ownStore := &store{content: content{items: map[string]feed.Item{}}}
		f := follow(ctx, ownStore, &peer{feed: &reader.Feed, reader: true})
		time.Sleep(2 * time.Second)
		s.setFaults(false, true)
		s.write("a", "2")
		s.write("b", "")
		s.setListDelay(400 * time.Millisecond)
		time.Sleep(3 * time.Second)
		assert.Equal(t, "2", f.sink.get("a"))
		assert.Empty(t, f.sink.get("b"))
		assert.LessOrEqual(t, ownStore.calls, 1, "only the first list")
	})
}

func TestUpdatesOmitHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.writeWithFingerprint("a", "beat 1", "ready")
		s.writeWithFingerprint("b", "beat 1", "ready")
		f := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		s.writeWithFingerprint("a", "beat 2", "ready")
		s.writeWithFingerprint("b", "beat 2", "leaving")
		time.Sleep(1100 * time.Millisecond)
		update, ok := f.UpdateSince(time.Now(), feed.Request{After: feed.At(0, 2)})
		assert.True(t, ok)
		assert.Equal(t, feed.At(0, 4), update.Position)
		assert.Len(t, update.Items, 1)
		assert.Equal(t, "b", update.Items[0].Key)
		full, _ := f.UpdateSince(time.Now(), feed.Request{Full: true})
		assert.Len(t, full.Items, 2)
	})
}

// TestReplacedReaderReportsDeletedItems guards against a deleted item that stays known
// after the designated reader is replaced. The new reader started after the deletion and so
// has no tombstone for it, but its update must make the host delete the item.
func TestReplacedReaderReportsDeletedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("a", "1")
		s.write("b", "1")
		before := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		reader := &replaceableReader{}
		reader.Store(&before.Feed)
		f := follow(ctx, s, reader)
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, "1", f.sink.get("b"))

		s.write("b", "")
		s.write("a", "2")
		after := follow(ctx, s, &peer{})
		time.Sleep(time.Millisecond)
		reader.Store(&after.Feed)
		time.Sleep(3 * time.Second)
		assert.Equal(t, "2", f.sink.get("a"))
		assert.Empty(t, f.sink.get("b"))
	})
}

// TestHostWithoutStoreReportsNoOutageToOthers has a host that the store refuses get updates
// from a host that reads the store, and a third host get updates from the refused one. The
// refused host must not report its own failures as a store outage: an item that is deleted
// must be deleted on the third host at once, not retained as after an outage.
func TestHostWithoutStoreReportsNoOutageToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("a", "1")
		s.write("b", "1")
		reading := follow(ctx, s, &peer{})
		time.Sleep(10 * time.Millisecond)
		refused := follow(ctx, &store{content: content{items: map[string]feed.Item{}}, down: true}, &peer{feed: &reading.Feed})
		time.Sleep(3 * time.Second)
		f := follow(ctx, &store{content: content{items: map[string]feed.Item{}}, down: true}, &peer{feed: &refused.Feed, reader: true})
		time.Sleep(3 * time.Second)
		assert.Equal(t, "1", f.sink.get("b"))

		s.write("b", "")
		time.Sleep(3 * time.Second)
		assert.Empty(t, f.sink.get("b"))
		assert.True(t, f.sink.lastOutage.IsZero(), "the store had no outage for the host that read it")
	})
}

// updateOnRegain is a log handler that requests an update, as another host would, at the
// moment a feed logs that the store is reachable again.
type updateOnRegain struct {
	slog.Handler
	feed    *feed.Feed
	updates []feed.Update
}

func (h *updateOnRegain) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "store regained" {
		update, _ := h.feed.UpdateSince(time.Now(), feed.Request{After: feed.At(0, 1)})
		h.updates = append(h.updates, update)
	}
	return nil
}

func (h *updateOnRegain) Enabled(context.Context, slog.Level) bool { return true }

// TestUpdateContainsChangesUpToItsRevision requests an update while the feed takes over an
// answer of the store. An update that states the new revision without the deletion that
// led to it would leave the item in use at the other host for good.
func TestUpdateContainsChangesUpToItsRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("server", "ready")
		f := &follower{sink: sink{values: map[string]string{}}}
		h := &updateOnRegain{Handler: slog.DiscardHandler, feed: &f.Feed}
		f.Reset(s, &peer{}, &f.sink, slog.New(h), &stats.Registry{})
		go f.Run(ctx)
		time.Sleep(10 * time.Millisecond)
		s.setFaults(true, false)
		time.Sleep(10 * time.Second)
		s.write("server", "")
		s.setFaults(false, false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		assert.Len(t, h.updates, 1)
		for _, update := range h.updates {
			assert.Equal(t, feed.At(0, 2), update.Position)
			assert.Len(t, update.Items, 1, "the deletion at revision 2")
		}
	})
}

// TestRestartedHostDoesNotReviveWithdrawnItems restarts a host while the store is down,
// after an item was withdrawn and another replaced. The new process must start with what
// the other hosts know, and the store's return must not bring the item back.
func TestRestartedHostDoesNotReviveWithdrawnItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{content: content{items: map[string]feed.Item{}}}
		s.write("server", "ready")
		s.write("manifest", "1")
		other := follow(ctx, s, &peer{})
		firstCtx, stop := context.WithCancel(ctx)
		first := follow(firstCtx, s, &peer{feed: &other.Feed})
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, "ready", first.sink.get("server"))
		s.write("server", "")
		s.write("manifest", "2")
		time.Sleep(1100 * time.Millisecond)
		s.setFaults(true, false)
		stop()
		restarted := follow(ctx, s, &peer{feed: &other.Feed})
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			assert.Empty(t, restarted.sink.get("server"))
			assert.Equal(t, "2", restarted.sink.get("manifest"))
		}
		s.setFaults(false, false)
		time.Sleep(2 * time.Second)
		assert.Empty(t, restarted.sink.get("server"))
		assert.Equal(t, "2", restarted.sink.get("manifest"))
	})
}

package settings_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/standin"
	"fescuerill/settings"
	"fescuerill/store"
)

func startStore(t *testing.T) (*standin.Store, *store.Client) {
	t.Helper()
	s := &standin.Store{}
	server, err := standin.Listen("127.0.0.1:0", s)
	require.NoError(t, err)
	client := store.NewClient(server.Address())
	t.Cleanup(func() {
		client.Close()
		server.Stop()
	})
	return s, client
}

// withQueue returns smallTree with the queue setting of one service set to n.
func withQueue(t *testing.T, n int) *settings.Tree {
	t.Helper()
	tree, err := settings.ParseTree("t.toml", []byte(smallTree+fmt.Sprintf("[groups.desk.services.desk-01.policy]\nqueue = %d\n", n)))
	require.NoError(t, err)
	return tree
}

func TestApplyAcceptsOneOfConcurrentChanges(t *testing.T) {
	_, client := startStore(t)
	ctx := context.Background()
	_, err := settings.Apply(ctx, client, withQueue(t, 1), settings.Change{ID: "c0"})
	require.NoError(t, err)
	var wg sync.WaitGroup
	accepted := make(chan string, 8)
	for i := range 8 {
		wg.Go(func() {
			id := fmt.Sprintf("c%d", i+1)
			m, err := settings.Apply(ctx, client, withQueue(t, 10+i), settings.Change{ID: id, Base: 1})
			if err == nil {
				accepted <- id
				return
			}
			assert.ErrorIs(t, err, settings.ErrConflict)
			assert.NotEqual(t, id, m.ChangeID, "the manifest of the accepted change is returned")
		})
	}
	wg.Wait()
	require.Len(t, accepted, 1)
	m, _, err := settings.CurrentManifest(ctx, client)
	require.NoError(t, err)
	assert.Equal(t, <-accepted, m.ChangeID)
	assert.Equal(t, 2, m.Revision)
}

func TestApplyReadsBackAfterLostAnswer(t *testing.T) {
	s, client := startStore(t)
	ctx := context.Background()
	_, err := settings.Apply(ctx, client, withQueue(t, 1), settings.Change{ID: "c0"})
	require.NoError(t, err)
	lossy := lossyStore{Service: client, key: settings.ManifestKey}
	m, err := settings.Apply(ctx, &lossy, withQueue(t, 2), settings.Change{ID: "c1", Base: 1})
	require.NoError(t, err, "the write took effect")
	assert.Equal(t, 2, m.Revision)
	lossy.before = func() {
		_, err := settings.Apply(ctx, client, withQueue(t, 9), settings.Change{ID: "other", Base: 2})
		require.NoError(t, err)
	}
	_, err = settings.Apply(ctx, &lossy, withQueue(t, 3), settings.Change{ID: "c2", Base: 2})
	require.ErrorIs(t, err, settings.ErrConflict, "another change was accepted first")
	lossy.before, lossy.after = nil, func() {
		_, err := settings.Apply(ctx, client, withQueue(t, 10), settings.Change{ID: "later", Base: 4})
		require.NoError(t, err)
	}
	m, err = settings.Apply(ctx, &lossy, withQueue(t, 4), settings.Change{ID: "c3", Base: 3})
	require.NoError(t, err, "the change was accepted and then replaced by another")
	assert.Equal(t, 4, m.Revision)
	s.SetFaults(standin.StoreFaults{Unavailable: true})
	_, err = settings.Apply(ctx, client, withQueue(t, 5), settings.Change{ID: "c4", Base: 5})
	require.Error(t, err)
	require.NotErrorIs(t, err, settings.ErrConflict)
}

// lossyStore drops the answers to writes of one key. It calls before and after, if
// set, around each such write.
type lossyStore struct {
	store.Service
	key           string
	before, after func()
}

func (l *lossyStore) Put(ctx context.Context, key, value string, ifRevision int, lease string) (store.Entry, error) {
	if key != l.key {
		return l.Service.Put(ctx, key, value, ifRevision, lease)
	}
	if l.before != nil {
		l.before()
	}
	_, _ = l.Service.Put(ctx, key, value, ifRevision, lease)
	if l.after != nil {
		l.after()
	}
	return store.Entry{}, store.ErrOutcomeUnknown
}

func TestApplyDeltaReproducesManifest(t *testing.T) {
	_, client := startStore(t)
	ctx := context.Background()
	old, err := settings.Apply(ctx, client, withQueue(t, 1), settings.Change{ID: "c0"})
	require.NoError(t, err)
	next, err := settings.Apply(ctx, client, withQueue(t, 2), settings.Change{ID: "c1", Base: 1})
	require.NoError(t, err)
	d := settings.DiffManifests(old, next)
	assert.Len(t, d.Changed, 1)
	got, err := settings.ApplyDelta(old, d)
	require.NoError(t, err)
	assert.Equal(t, next, got)
	_, err = settings.ApplyDelta(next, d)
	require.ErrorIs(t, err, settings.ErrDeltaMismatch)
	d.Changed[0].Hash = "other"
	_, err = settings.ApplyDelta(old, d)
	require.ErrorIs(t, err, settings.ErrDeltaMismatch)
}

// TestHistoryKeepsContentThatReturned has the content of a part go, return for some
// revisions and go again. When the record of the revision that had it first is overwritten,
// the content must remain for the later records that refer to it.
func TestHistoryKeepsContentThatReturned(t *testing.T) {
	_, client := startStore(t)
	ctx := context.Background()
	for revision := 1; revision <= settings.HistorySize+2; revision++ {
		queue := 2
		if revision == 1 || revision >= 3 && revision <= 10 {
			queue = 1
		}
		_, err := settings.Apply(ctx, client, withQueue(t, queue), settings.Change{ID: fmt.Sprint("c", revision), Base: revision - 1})
		require.NoError(t, err)
	}
	history, err := settings.History(ctx, client)
	require.NoError(t, err)
	for _, m := range history {
		_, err := settings.FetchTree(ctx, client, m, map[string]string{})
		assert.NoError(t, err, "revision %d", m.Revision)
	}
}

func TestApplyKeepsStoreSizeBounded(t *testing.T) {
	s, client := startStore(t)
	ctx := context.Background()
	sizes := map[int]int{}
	for i := range 3 * settings.HistorySize {
		_, err := settings.Apply(ctx, client, withQueue(t, i+1), settings.Change{ID: fmt.Sprint(i), Base: i})
		require.NoError(t, err)
		sizes[i] = s.KeyCount()
	}
	assert.LessOrEqual(t, sizes[3*settings.HistorySize-1], sizes[2*settings.HistorySize-1]+1)
	history, err := settings.History(ctx, client)
	require.NoError(t, err)
	assert.Equal(t, 3*settings.HistorySize, history[0].Revision)
	tree, err := settings.FetchTree(ctx, client, history[0], map[string]string{})
	require.NoError(t, err)
	text, err := tree.EncodeTOML()
	require.NoError(t, err)
	assert.True(t, strings.Contains(string(text), fmt.Sprintf("queue = %d", 3*settings.HistorySize)))
}

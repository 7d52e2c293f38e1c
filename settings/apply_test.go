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

// withQueue returns the small tree with another value in one service.
func withQueue(t *testing.T, n int) *settings.Tree {
	t.Helper()
	tree, err := settings.ParseTree("t.toml", []byte(small+fmt.Sprintf("[groups.desk.services.desk-01.policy]\nqueue = %d\n", n)))
	require.NoError(t, err)
	return tree
}

func TestRacingOperatorsOneWins(t *testing.T) {
	_, client := startStore(t)
	ctx := context.Background()
	_, err := settings.Apply(ctx, client, withQueue(t, 1), settings.Change{ID: "c0"})
	require.NoError(t, err)
	var racing sync.WaitGroup
	won := make(chan string, 8)
	for i := range 8 {
		racing.Go(func() {
			id := fmt.Sprintf("c%d", i+1)
			m, err := settings.Apply(ctx, client, withQueue(t, 10+i), settings.Change{ID: id, Base: 1})
			if err == nil {
				won <- id
				return
			}
			assert.ErrorIs(t, err, settings.ErrConflict)
			assert.NotEqual(t, id, m.ChangeID, "the other change is shown")
		})
	}
	racing.Wait()
	require.Len(t, won, 1)
	m, _, err := settings.CurrentManifest(ctx, client)
	require.NoError(t, err)
	assert.Equal(t, <-won, m.ChangeID)
	assert.Equal(t, 2, m.Revision)
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	s, client := startStore(t)
	ctx := context.Background()
	_, err := settings.Apply(ctx, client, withQueue(t, 1), settings.Change{ID: "c0"})
	require.NoError(t, err)
	lossy := losingPuts{Service: client, only: settings.ManifestKey}
	m, err := settings.Apply(ctx, &lossy, withQueue(t, 2), settings.Change{ID: "c1", Base: 1})
	require.NoError(t, err, "the write took effect")
	assert.Equal(t, 2, m.Revision)
	lossy.before = func() {
		_, err := settings.Apply(ctx, client, withQueue(t, 9), settings.Change{ID: "other", Base: 2})
		require.NoError(t, err)
	}
	_, err = settings.Apply(ctx, &lossy, withQueue(t, 3), settings.Change{ID: "c2", Base: 2})
	require.ErrorIs(t, err, settings.ErrConflict, "another change came first")
	lossy.before, lossy.after = nil, func() {
		_, err := settings.Apply(ctx, client, withQueue(t, 10), settings.Change{ID: "later", Base: 4})
		require.NoError(t, err)
	}
	m, err = settings.Apply(ctx, &lossy, withQueue(t, 4), settings.Change{ID: "c3", Base: 3})
	require.NoError(t, err, "it was accepted, though another change followed")
	assert.Equal(t, 4, m.Revision)
	s.SetFaults(standin.StoreFaults{Unavailable: true})
	_, err = settings.Apply(ctx, client, withQueue(t, 5), settings.Change{ID: "c4", Base: 5})
	require.Error(t, err)
	require.NotErrorIs(t, err, settings.ErrConflict)
}

// losingPuts loses the answers to the writes of one key.
type losingPuts struct {
	store.Service
	only          string
	before, after func()
}

func (l *losingPuts) Put(ctx context.Context, key, value string, at int, lease string) (store.Entry, error) {
	if key != l.only {
		return l.Service.Put(ctx, key, value, at, lease)
	}
	if l.before != nil {
		l.before()
	}
	_, _ = l.Service.Put(ctx, key, value, at, lease)
	if l.after != nil {
		l.after()
	}
	return store.Entry{}, store.ErrOutcomeUnknown
}

func TestChangeLeadsToTheSameManifest(t *testing.T) {
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

func TestStoreDoesNotGrowWithChanges(t *testing.T) {
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

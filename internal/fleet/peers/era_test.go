package peers_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/schema/fleet"
)

// TestUpdateCarriesPositions checks that the positions of a request and of a reply arrive with
// their eras.
func TestUpdateCarriesPositions(t *testing.T) {
	reader := join(t, 0, "a")
	reader.source.era.Store(4)
	reader.source.revision.Store(480)
	m := join(t, 1, "a")
	m.AddHost(peers.Host{Address: reader.address, DataCentre: "a", Incarnation: "run0"})
	got, err := m.FetchUpdate(t.Context(), feed.Request{After: feed.At(3, 520)})
	require.NoError(t, err)
	assert.Equal(t, feed.At(4, 480), got.Position)
	assert.Equal(t, feed.Request{After: feed.At(3, 520)}, *reader.source.request.Load())
}

// serveWithoutEra answers update requests as a host that knows of no eras.
func serveWithoutEra(ctx context.Context, l net.Listener) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	reply := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return fleet.UpdateReply{Items: []fleet.StoreItem{}, Revision: 520}, nil
	})
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), reply)
	}
}

// TestReaderWithoutErasIsLeft guards against hosts that take the revisions of an earlier
// version for ones of the current era, or that all read the store because of it.
func TestReaderWithoutErasIsLeft(t *testing.T) {
	m := join(t, 1, "a")
	var earlier []string
	for n := range 3 {
		_, l := listenBoth(t)
		go serveWithoutEra(t.Context(), l)
		earlier = append(earlier, l.Addr().String())
		m.AddHost(peers.Host{Address: l.Addr().String(), DataCentre: "a", Incarnation: fmt.Sprint("x", n), Cores: 2})
	}
	got, err := m.FetchUpdate(t.Context(), feed.Request{After: feed.At(0, 500)})
	require.NoError(t, err)
	assert.Equal(t, feed.At(0, 520), got.Position)
	assert.True(t, m.HasReader(), "a host that knows of no eras itself follows such a reader")
	for range earlier {
		assert.True(t, m.HasReader())
		got, err := m.FetchUpdate(t.Context(), feed.Request{After: feed.At(3, 500)})
		require.NoError(t, err)
		assert.Equal(t, feed.At(0, 520), got.Position)
	}
	assert.False(t, m.HasReader(), "no host of this version is left but this one")
}

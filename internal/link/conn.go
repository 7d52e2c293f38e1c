package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout bounds a write to a connection.
const writeTimeout = 2 * time.Second

// Methods of the protocol.
const (
	MethodTargets = "targets"
	MethodPing    = "ping"
	MethodProbe   = "probe"
	MethodCheck   = "check"
	MethodPull    = "pull"
	MethodRelease = "release"
)

// Traffic counts the bytes of messages. The zero value has counted none.
type Traffic struct {
	sent, received atomic.Int64
}

// Sent returns the bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Received returns the bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// boundedConn gives each write a deadline.
type boundedConn struct {
	net.Conn
}

// Write implements io.Writer.
func (c boundedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// handlerFunc is a jsonrpc2.Handler that answers calls with what the function
// returns.
type handlerFunc func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Handle implements jsonrpc2.Handler. A call, whose answer may take time, does
// not hold up what comes after it.
func (h handlerFunc) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	go h.handle(ctx, c, r)
}

func (h handlerFunc) handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	result, err := h(ctx, r.Method, params)
	if err != nil {
		// Rubbish ends the connection: nothing after it can be trusted.
		_ = c.Close()
		return
	}
	if !r.Notif {
		_ = c.Reply(ctx, r.ID, result)
	}
}

// conn is a connection to another daemon.
type conn struct {
	*jsonrpc2.Conn
	stream *stream
}

func newConn(ctx context.Context, raw net.Conn, t *Traffic, h handlerFunc, data func(kind, []byte) error) *conn {
	s := newStream(boundedConn{raw}, t, data)
	return &conn{jsonrpc2.NewConn(ctx, s, h, jsonrpc2.SetLogger(discardLogger{})), s}
}

// discardLogger drops the library's own messages; what matters is counted.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

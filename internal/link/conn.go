package link

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"fescuerill/internal/network/frame"
)

// writeTimeout limits each write to a connection.
const writeTimeout = 2 * time.Second

// Names of the JSON-RPC methods.
const (
	MethodTargets       = "targets"
	MethodPing          = "ping"
	MethodProbe         = "probe"
	MethodIndirectProbe = "check"
	MethodPull          = "pull"
	MethodRelease       = "release"
)

// Traffic counts the bytes of messages sent and received.
type Traffic = frame.Traffic

// Kinds of the messages that carry parts and their results.
const (
	kindRequests frame.Kind = 'a'
	kindReplies  frame.Kind = 't'
)

// boundedConn sets a deadline on each write.
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

// handlerFunc is a jsonrpc2.Handler that replies to each call with the result
// of the function.
type handlerFunc func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Handle implements jsonrpc2.Handler. Each call is handled in its own
// goroutine, so that a slow call does not delay the messages after it.
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
		// After an invalid message no later one can be trusted.
		_ = c.Close()
		return
	}
	if !r.Notif {
		_ = c.Reply(ctx, r.ID, result)
	}
}

// conn is a connection to another daemon, for calls and for messages that carry
// parts.
type conn struct {
	*jsonrpc2.Conn
	stream *frame.Stream
}

func newConn(ctx context.Context, raw net.Conn, t *Traffic, h handlerFunc, handleData func(frame.Kind, []byte) error) *conn {
	s := frame.NewStream(boundedConn{raw}, t, handleData)
	return &conn{jsonrpc2.NewConn(ctx, s, h, jsonrpc2.SetLogger(discardLogger{})), s}
}

// discardLogger discards the log messages of the jsonrpc2 library. The events
// that matter are counted by the handlers.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

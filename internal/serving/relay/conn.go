package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"

	"fescuerill/internal/network/frame"
)

// ackTimeout is how long sent data may stay unacknowledged before the kernel closes the
// connection.
const ackTimeout = time.Second

// newStream returns a stream whose messages are passed to handleData.
func newStream(raw net.Conn, handleData func(frame.Kind, []byte) error) *frame.Stream {
	return frame.NewStream(raw, &frame.Traffic{}, handleData)
}

// readMessages starts to read messages from a stream until the returned connection is
// closed. There are no JSON-RPC calls between relays.
func readMessages(ctx context.Context, stream *frame.Stream) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(ctx, stream, noCalls{}, jsonrpc2.SetLogger(discardLogger{}))
}

// noCalls is a jsonrpc2.Handler that ignores calls.
type noCalls struct{}

// Handle implements jsonrpc2.Handler.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// discardLogger discards the log messages of the jsonrpc2 library. Messages that cannot be
// decoded are logged where they are handled.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// setAckTimeout sets ackTimeout on a TCP connection. A failure is ignored.
func setAckTimeout(raw net.Conn) {
	t, ok := raw.(*net.TCPConn)
	if !ok {
		return
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = rc.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
}

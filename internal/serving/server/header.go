package server

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxHeaderTime is how long a caller may take to send a header if the manifest sets no
// limit, and to send the first byte on a new connection.
const maxHeaderTime = 10 * time.Second

// callerListener accepts connections on which the time to send a header is bounded by a
// limit that may change. The limit of http.Server is fixed when the server starts.
type callerListener struct {
	net.Listener
	// limit returns the limit in force; 0 means no limit.
	limit func() time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limit: l.limit}, nil
}

// callerConn is a connection of a caller. http.Server sets a read deadline in the future
// on it only to read a header.
type callerConn struct {
	net.Conn
	limit func() time.Duration
	// received is set once the first byte has been received.
	received atomic.Bool
}

// Read implements net.Conn. The time limit of the first header starts with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.received.CompareAndSwap(false, true) {
		if d := c.limit(); d > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(d))
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. After the first byte it applies the limit in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if d := c.limit(); d > 0 && c.received.Load() && t.After(now.Add(d)) {
		t = now.Add(d)
	}
	return c.Conn.SetReadDeadline(t)
}

// MinRTT returns the minimum round-trip time of the caller's connection, given the context
// of a request, or 0 if it is unknown.
func MinRTT(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0
	}
	return c.minRTT()
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn stores the connection in the context for MinRTT; it is used as
// http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// minRTT reads the minimum round-trip time from the kernel, which sees acknowledgements.
func (c *callerConn) minRTT() time.Duration {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	rtt := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		// It fails for a connection that has just been closed; then rtt stays 0.
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			rtt = time.Duration(info.Min_rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}

// headerLimit returns the manifest's limit on the time to send a header, or 0 if there is
// none.
func (s *Server) headerLimit() time.Duration {
	m := s.gateway.Manifest()
	if m == nil {
		return 0
	}
	return m.Limits().HeaderTimeout
}

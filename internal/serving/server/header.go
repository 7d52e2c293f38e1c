package server

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// headerMost is how long a caller may take to send a header while the manifest sets
// no limit, and to send its first byte on a new connection.
const headerMost = 10 * time.Second

// callerListener bounds the time in which callers send their headers by a limit that
// may change. http.Server has one limit for all its life.
type callerListener struct {
	net.Listener
	// limit returns the limit in force, or 0 if there is none.
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

// callerConn is a connection of a caller. The server sets a deadline to come on it
// for headers only.
type callerConn struct {
	net.Conn
	limit func() time.Duration
	// begun says that the first byte has come.
	begun atomic.Bool
}

// Read implements net.Conn. The time for the first header begins with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.begun.CompareAndSwap(false, true) {
		if d := c.limit(); d > 0 {
			_ = c.Conn.SetReadDeadline(time.Now().Add(d))
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if d := c.limit(); d > 0 && c.begun.Load() && t.After(now.Add(d)) {
		t = now.Add(d)
	}
	return c.Conn.SetReadDeadline(t)
}

// MinRTT returns the least time that a packet to a caller and its acknowledgement
// have taken on the connection of a request, or 0 if that is not known.
func MinRTT(ctx context.Context) time.Duration {
	c, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return 0
	}
	return c.roundTrip()
}

// connKey is the key of the connection of a request in its context.
type connKey struct{}

// withConn keeps the connection for RoundTrip, as for http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// roundTrip asks the kernel, since it sees acknowledgements.
func (c *callerConn) roundTrip() time.Duration {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	least := time.Duration(0)
	err = raw.Control(func(fd uintptr) {
		// A connection that has just ended has none: then nothing is known of it.
		if info, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); e == nil {
			least = time.Duration(info.Min_rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return least
}

// headerLimit returns the manifest's limit on the time of a header, or 0.
func (s *Server) headerLimit() time.Duration {
	m := s.gateway.Manifest()
	if m == nil {
		return 0
	}
	return m.Limits().HeaderTimeout
}

package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fescuerill/internal/observe/traffic"
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
	meter *traffic.Meter
	// stopped is closed by the first call of stop.
	stopped  chan struct{}
	stopOnce sync.Once
}

// newCallerListener returns a listener on top of another one.
func newCallerListener(l net.Listener, limit func() time.Duration, meter *traffic.Meter) *callerListener {
	return &callerListener{Listener: l, limit: limit, meter: meter, stopped: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	select {
	case <-l.stopped:
		if err != nil {
			return nil, http.ErrServerClosed
		}
	default:
	}
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limit: l.limit, meter: l.meter}, nil
}

// stop ends Accept after the connections that callers have already opened have been
// accepted.
func (l *callerListener) stop() {
	l.stopOnce.Do(func() { close(l.stopped) })
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		_ = d.SetDeadline(time.Now().Add(firstRequestTime))
		time.Sleep(firstRequestTime)
	}
	_ = l.Close()
}

// callerConn is a connection of a caller. http.Server sets a read deadline in the future
// on it only to read a header. It can be closed without cutting off a request that has
// begun to arrive: http.Server.Shutdown counts a connection as idle until it has read a
// whole header.
type callerConn struct {
	net.Conn
	limit func() time.Duration
	meter *traffic.Meter

	mu sync.Mutex
	// received is set once the first byte has been received.
	received bool
	// inRequest is set from the first byte of a request to the end of its answer.
	inRequest bool
	// closing is set if the connection is closed when it has no request.
	closing bool
}

// Read implements net.Conn. The time limit of the first header starts with its first byte.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.meter.Received(traffic.Caller, traffic.Elsewhere, n)
		c.requestStarted()
	}
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(traffic.Caller, traffic.Elsewhere, n)
	return n, err
}

// requestStarted records that a part of a request has arrived.
func (c *callerConn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.received
	c.received = true
	if c.inRequest {
		return
	}
	c.inRequest = true
	d := c.limit()
	switch {
	case d > 0 && (first || c.closing):
		_ = c.Conn.SetReadDeadline(time.Now().Add(d))
	case c.closing:
		_ = c.Conn.SetReadDeadline(time.Now().Add(maxHeaderTime))
	}
}

// requestEnded records that the request has been answered.
func (c *callerConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	if c.closing {
		c.expireReads()
	}
}

// closeWhenIdle makes the server close the connection as soon as it has no request. It
// reports whether that is new and the connection has none now.
func (c *callerConn) closeWhenIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.closing = true
	if c.inRequest {
		return false
	}
	c.expireReads()
	return true
}

// expireReads ends the read for the next request, so that the server closes the
// connection. The caller must hold c.mu.
func (c *callerConn) expireReads() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// SetReadDeadline implements net.Conn. After the first byte it applies the limit in force.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing && !c.inRequest {
		c.expireReads()
		return nil
	}
	now := time.Now()
	if d := c.limit(); d > 0 && c.received && t.After(now.Add(d)) {
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

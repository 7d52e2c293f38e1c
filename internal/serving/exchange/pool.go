package exchange

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fescuerill/internal/serving/search"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 700 * time.Millisecond
	// ackTimeout is how long sent data may stay unacknowledged before the kernel
	// closes the connection.
	ackTimeout = 1500 * time.Millisecond
	// maxSpareIdleTime is how long idle connections to a target are kept, except the one
	// used last. It is short because a target may go on counting the connections of a
	// host that has lost its power.
	maxSpareIdleTime = 2 * time.Second
	// maxNonIdempotentIdleTime is how long a connection may have been idle if a
	// non-idempotent request is sent on it. A target may drop idle connections without
	// notice, and such a request cannot be sent again.
	maxNonIdempotentIdleTime = 200 * time.Millisecond
	// answerGrace is how long after its time limit the answer of a target is still
	// awaited.
	answerGrace = 350 * time.Millisecond
)

// DialFunc opens a connection to an address of the form IP:port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection with timeouts and keep-alive probes that detect an
// unreachable peer within seconds.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Pool is a pool of connections to targets with a limit per target. Call Reset before
// use. Its methods are safe for concurrent use.
type Pool struct {
	dial     DialFunc
	protocol Protocol
	// onOpen is called after each connection is opened.
	onOpen  func()
	mu      sync.Mutex
	targets map[string]*targetConns
}

// targetConns holds the connections to one target.
type targetConns struct {
	idle    []*conn
	open    int
	maxOpen int
	waiters []chan struct{}
}

// Reset initialises an empty pool.
func (p *Pool) Reset(dial DialFunc, protocol Protocol, onOpen func()) {
	p.dial, p.protocol, p.onOpen = dial, protocol, onOpen
	p.targets = map[string]*targetConns{}
}

// targetConns returns the connections to a target, and adds an entry if there is none.
func (p *Pool) targetConns(id string) *targetConns {
	tc := p.targets[id]
	if tc == nil {
		tc = &targetConns{maxOpen: 1}
		p.targets[id] = tc
	}
	return tc
}

// SetMaxConns sets the maximum number of connections to a target; it is at least 1.
func (p *Pool) SetMaxConns(id string, maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targetConns(id).maxOpen = max(1, maxOpen)
}

// Exhausted reports whether a request to the target would have to wait for a connection.
func (p *Pool) Exhausted(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	return len(tc.idle) == 0 && tc.open >= tc.maxOpen
}

// CloseIdle closes the idle connections to a target that was removed or has restarted.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targets[id]
	if tc == nil {
		return
	}
	for _, c := range tc.idle {
		_ = c.raw.Close()
		tc.open--
	}
	tc.idle = nil
	if tc.open == 0 && len(tc.waiters) == 0 {
		delete(p.targets, id)
	}
}

// Prune closes idle connections that are no longer usable, and spare ones that have
// been idle for longer than maxSpareIdleTime.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, tc := range p.targets {
		kept := tc.idle[:0]
		for i, c := range tc.idle {
			if c.usable(now) && (i == len(tc.idle)-1 || now.Sub(c.lastUsed) < maxSpareIdleTime) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
			tc.open--
		}
		tc.idle = kept
	}
}

// reserve returns an idle connection, or two nils if the caller is to open one, or a
// channel that is closed when the caller should try again. It closes connections that
// have been idle for maxIdle or longer.
func (p *Pool) reserve(id string, maxIdle time.Duration) (*conn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	now := time.Now()
	for n := len(tc.idle); n > 0; n = len(tc.idle) {
		c := tc.idle[n-1]
		tc.idle = tc.idle[:n-1]
		if now.Sub(c.lastUsed) < maxIdle && c.usable(now) {
			return c, nil
		}
		_ = c.raw.Close()
		tc.open--
	}
	if tc.open < tc.maxOpen {
		tc.open++
		return nil, nil
	}
	wake := make(chan struct{})
	tc.waiters = append(tc.waiters, wake)
	return nil, wake
}

// release returns a connection to the pool, or closes it if it is not to be reused. A
// nil connection stands for one that could not be opened. The next waiter is woken.
func (p *Pool) release(id string, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	if c != nil && reuse && tc.open <= tc.maxOpen {
		c.lastUsed = time.Now()
		tc.idle = append(tc.idle, c)
	} else {
		if c != nil {
			_ = c.raw.Close()
		}
		tc.open--
	}
	if len(tc.waiters) > 0 {
		close(tc.waiters[0])
		tc.waiters = tc.waiters[1:]
	}
}

// acquire returns a connection to the target, or the reply to return and false.
func (p *Pool) acquire(ctx context.Context, t Target, nonIdempotent bool) (*conn, Reply, bool) {
	maxIdle := maxIdleTime
	if nonIdempotent {
		maxIdle = maxNonIdempotentIdleTime
	}
	for {
		c, wake := p.reserve(t.ID, maxIdle)
		switch {
		case c != nil:
			return c, Reply{}, true
		case wake != nil:
			select {
			case <-wake:
				continue
			case <-ctx.Done():
				p.cancelWait(t.ID, wake)
				return nil, Reply{Outcome: search.NotSent, Reason: reasonNoConnection, LocalFailure: true, Err: ctx.Err()}, false
			}
		}
		raw, err := p.dial(ctx, t.Address)
		if err != nil {
			p.release(t.ID, nil, false)
			return nil, dialFailure(ctx, err), false
		}
		p.onOpen()
		return newConn(raw), Reply{}, true
	}
}

// cancelWait removes a waiter from the queue. If it has just been woken, the next waiter
// is woken in its place.
func (p *Pool) cancelWait(id string, wake chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	for i, w := range tc.waiters {
		if w == wake {
			tc.waiters = append(tc.waiters[:i], tc.waiters[i+1:]...)
			return
		}
	}
	if len(tc.waiters) > 0 {
		close(tc.waiters[0])
		tc.waiters = tc.waiters[1:]
	}
}

// dialFailure returns the reply for a connection that could not be opened.
func dialFailure(ctx context.Context, err error) Reply {
	r := Reply{Outcome: search.NotSent, Reason: reasonConnectTimeout, Err: err}
	switch {
	case ctx.Err() != nil:
		r.Reason, r.LocalFailure = reasonCancelled, true
	case errors.Is(err, syscall.ECONNRESET):
		r.Reason = reasonConnectReset
	case errors.Is(err, syscall.ECONNREFUSED):
		r.Reason = reasonConnectRefused
	}
	return r
}

// Do sends a request to a target and returns the result. It calls left for the time
// that remains as soon as a connection is available. When ctx ends, the connection is
// closed, so that the target can stop processing.
func (p *Pool) Do(ctx context.Context, t Target, req *Request, left func() time.Duration) Reply {
	c, failed, ok := p.acquire(ctx, t, req.NonIdempotent)
	if !ok {
		return failed
	}
	remaining := left()
	if remaining <= 0 || ctx.Err() != nil {
		p.release(t.ID, c, true)
		return Reply{Outcome: search.NotSent, Reason: reasonCancelled, LocalFailure: true}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	r := p.roundTrip(c, t, req, remaining)
	if !stop() {
		c.noReuse = true
		if r.Outcome == search.Unknown {
			r.Reason = reasonCancelled
		}
	}
	p.release(t.ID, c, !c.noReuse && r.Err == nil)
	return r
}

// roundTrip writes the request and reads the answer.
func (p *Pool) roundTrip(c *conn, t Target, req *Request, left time.Duration) Reply {
	if err := c.raw.SetDeadline(time.Now().Add(left + answerGrace)); err != nil {
		return Reply{Outcome: search.NotSent, Reason: reasonWriteFailed, Err: err}
	}
	if err := c.write(req, t, p.protocol, left); err != nil {
		return Reply{Outcome: search.Unknown, Reason: reasonWriteFailed, Err: err}
	}
	r, err := c.read(req, p.protocol)
	if err != nil {
		reason := failureReason(err)
		return Reply{Outcome: search.Unknown, Reason: reason, TimedOut: reason == reasonSilent, Err: err}
	}
	c.updateReuse(r.Header)
	p.protocol.ParseReplyHeader(r.Header, &r)
	return r
}

// failureReason returns the Reply.Reason for an error while reading an answer.
func failureReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, errAnswerTooLong):
		return reasonAnswerTooLong
	case errors.Is(err, errMismatchedAnswers):
		return reasonCrossedAnswers
	case errors.Is(err, io.ErrUnexpectedEOF):
		return reasonTruncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonSilent
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &netErr):
		return reasonConnectionBroken
	}
	return reasonBadFormat
}

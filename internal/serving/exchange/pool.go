package exchange

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fescuerill/internal/network"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/serving/dispatch"
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
	onOpen func()
	meter  *traffic.Meter
	// opened is the number of connections that were opened.
	opened  atomic.Uint64
	memory  answerMemory
	mu      sync.Mutex
	targets map[string]*targetConns
}

// targetConns holds the connections to one target and the requests that wait for one.
type targetConns struct {
	idle    []*conn
	open    int
	maxOpen int
	account *account
	queue   dispatch.Queue[chan bool]
}

// Reset initialises an empty pool. The bytes of requests and answers are counted in meter.
func (p *Pool) Reset(dial DialFunc, protocol Protocol, onOpen func(), meter *traffic.Meter) {
	p.dial, p.protocol, p.onOpen, p.meter = dial, protocol, onOpen, meter
	p.targets = map[string]*targetConns{}
	p.memory.setLimit(0)
}

// SetMemoryLimit bounds the memory in bytes for the answers of all targets that are read, or
// that are kept until their requests end; 0 stands for a default. An answer for which there is
// no room is not read to its end.
func (p *Pool) SetMemoryLimit(n int64) { p.memory.setLimit(n) }

// HeldMemory returns the memory in bytes that answers hold now.
func (p *Pool) HeldMemory() int64 { return p.memory.held.Load() }

// PeakMemory returns the most memory in bytes that answers have held at any time.
func (p *Pool) PeakMemory() int64 { return p.memory.peak.Load() }

// targetConns returns the connections to a target, and adds an entry if there is none.
func (p *Pool) targetConns(id string) *targetConns {
	tc := p.targets[id]
	if tc == nil {
		tc = &targetConns{account: &account{memory: &p.memory}}
		tc.queue.Reset(1)
		tc.setMaxOpen(1)
		p.targets[id] = tc
	}
	return tc
}

// setMaxOpen sets the maximum number of connections; it is at least 1. As many requests
// can be in flight, so that none of them waits for a connection of another.
func (tc *targetConns) setMaxOpen(n int) {
	tc.maxOpen = max(1, n)
	tc.queue.SetCapacity(tc.maxOpen)
}

// SetMaxConns sets the maximum number of connections to a target; it is at least 1.
func (p *Pool) SetMaxConns(id string, maxOpen int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	tc.setMaxOpen(maxOpen)
	tc.wakeNext(time.Now())
}

// Exhausted reports whether a request to the target would have to wait.
func (p *Pool) Exhausted(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetConns(id).queue.Full()
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
	if tc.open == 0 && tc.queue.InFlight() == 0 && tc.queue.Waiting() == 0 {
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

// idleConn returns the idle connection that was used last of those that have not carried the
// request, or nil if the caller is to open one. It closes connections that have been idle for
// maxIdle or longer.
func (p *Pool) idleConn(id string, req *Request, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	now := time.Now()
	for i := len(tc.idle) - 1; i >= 0; i-- {
		c := tc.idle[i]
		switch {
		case now.Sub(c.lastUsed) >= maxIdle || !c.usable(now):
			tc.closeIdle(i)
		case !req.wasSentOn(c):
			tc.idle = slices.Delete(tc.idle, i, i+1)
			return c
		}
	}
	if len(tc.idle) > 0 && tc.open >= tc.maxOpen {
		tc.closeIdle(0)
	}
	tc.open++
	return nil
}

// closeIdle closes an idle connection.
func (tc *targetConns) closeIdle(i int) {
	_ = tc.idle[i].raw.Close()
	tc.idle = slices.Delete(tc.idle, i, i+1)
	tc.open--
}

// release returns a connection to the pool, or closes it if it is not to be reused. A
// nil connection stands for one that could not be opened.
func (p *Pool) release(id string, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targetConns(id)
	if c != nil && reuse && tc.open <= tc.maxOpen {
		c.lastUsed = time.Now()
		tc.idle = append(tc.idle, c)
		return
	}
	if c != nil {
		_ = c.raw.Close()
	}
	tc.open--
}

// acquire returns a connection to the target, or the reply to return and false.
func (p *Pool) acquire(ctx context.Context, t Target, req *Request) (*conn, Reply, bool) {
	maxIdle := maxIdleTime
	if req.NonIdempotent {
		maxIdle = maxNonIdempotentIdleTime
	}
	if c := p.idleConn(t.ID, req, maxIdle); c != nil {
		return c, Reply{}, true
	}
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		p.release(t.ID, nil, false)
		return nil, dialFailure(ctx, err), false
	}
	p.onOpen()
	return newConn(p.opened.Add(1), raw, p.account(t.ID), func(n int) { p.meter.Received(traffic.Part, t.scope(), n) }), Reply{}, true
}

// account returns the account of a target's answers.
func (p *Pool) account(id string) *account {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.targetConns(id).account
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
// that remains on entry and again as soon as a connection is available. A request that has
// to wait is not sent if its time passes meanwhile. When ctx ends, the connection is
// closed, so that the target can stop processing.
func (p *Pool) Do(ctx context.Context, t Target, req *Request, left func() time.Duration) Reply {
	if reason := p.enter(ctx, t.ID, left()); reason != "" {
		return Reply{Outcome: search.NotSent, Reason: reason, LocalFailure: true, Err: ctx.Err()}
	}
	r, fraction := p.send(ctx, t, req, left)
	p.leave(t.ID, &r, fraction)
	return r
}

// send sends a request over an idle or a new connection. It returns the result and the
// fraction of the remaining time that the target took.
func (p *Pool) send(ctx context.Context, t Target, req *Request, left func() time.Duration) (Reply, float64) {
	c, failed, ok := p.acquire(ctx, t, req)
	if !ok {
		return failed, 0
	}
	remaining := left()
	if remaining <= 0 || ctx.Err() != nil {
		p.release(t.ID, c, true)
		return Reply{Outcome: search.NotSent, Reason: reasonCancelled, LocalFailure: true}, 0
	}
	req.recordSentOn(c)
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	began := time.Now()
	r := p.roundTrip(c, t, req, remaining)
	r.Conn = c.number
	req.keep(&r, &c.source.reservation)
	fraction := float64(time.Since(began)) / float64(remaining)
	if !stop() {
		c.noReuse = true
		if r.Outcome == search.Unknown {
			r.Reason = reasonCancelled
		}
	}
	p.release(t.ID, c, !c.noReuse && r.Err == nil)
	return r, fraction
}

// roundTrip writes the request and reads the answer.
func (p *Pool) roundTrip(c *conn, t Target, req *Request, left time.Duration) Reply {
	if err := c.raw.SetDeadline(time.Now().Add(left + answerGrace)); err != nil {
		return Reply{Outcome: search.NotSent, Reason: reasonWriteFailed, Err: err}
	}
	err := c.write(req, t, p.protocol, left)
	p.meter.Sent(traffic.Part, t.scope(), c.writeBuffer.Len())
	if err != nil {
		return Reply{Outcome: search.Unknown, Reason: reasonWriteFailed, Err: err}
	}
	r, err := c.read(req, p.protocol)
	if err != nil {
		reason := failureReason(err)
		return Reply{Outcome: search.Unknown, Reason: reason, TimedOut: reason == reasonSilent, Err: err}
	}
	c.updateReuse(r.Header)
	p.protocol.ParseReplyHeader(r.Header, &r)
	r.Statement.Incarnation = t.Incarnation
	return r
}

// failureReason returns the Reply.Reason for an error while reading an answer.
func failureReason(err error) string {
	var netErr net.Error
	switch {
	case errors.Is(err, errAnswerTooLong):
		return reasonAnswerTooLong
	case errors.Is(err, errNoRoom):
		return reasonNoRoom
	case errors.Is(err, network.ErrInvalidStatus):
		return reasonInvalidStatus
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

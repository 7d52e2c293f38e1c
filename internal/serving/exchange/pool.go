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
	// dialTimeout bounds how long a connection takes to open.
	dialTimeout = 700 * time.Millisecond
	// ackTimeout ends a connection whose peer acknowledges nothing.
	ackTimeout = 1500 * time.Millisecond
	// maxSpareIdleTime is how long more than one idle connection to a target is kept: a
	// target may count those of a host that lost its power for long.
	maxSpareIdleTime = 2 * time.Second
	// maxNonIdempotentIdleTime is how long a connection may have been idle on which a request is sent
	// that may run once only. A target may forget idle connections without notice.
	maxNonIdempotentIdleTime = 200 * time.Millisecond
	// answerGrace is how much longer than its time limit a target may take to
	// answer.
	answerGrace = 350 * time.Millisecond
)

// Dial opens a connection to an IP address and port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a connection that does not wait for long on a peer that is gone.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Pool keeps connections to targets, at most a few to each. Reset it before
// use. Its methods may be called from several goroutines.
type Pool struct {
	dial     Dial
	protocol Dialect
	// onOpen is called for each connection that is opened.
	onOpen  func()
	mu      sync.Mutex
	targets map[string]*targetConns
}

// targetConns is the connections to one target.
type targetConns struct {
	idle    []*conn
	open    int
	maxOpen int
	waiters []chan struct{}
}

// Reset makes the pool empty.
func (p *Pool) Reset(dial Dial, dialect Dialect, opened func()) {
	p.dial, p.protocol, p.onOpen = dial, dialect, opened
	p.targets = map[string]*targetConns{}
}

func (p *Pool) target(id string) *targetConns {
	l := p.targets[id]
	if l == nil {
		l = &targetConns{maxOpen: 1}
		p.targets[id] = l
	}
	return l
}

// SetMost sets the number of connections to a target.
func (p *Pool) SetMost(id string, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target(id).maxOpen = max(1, most)
}

// Full reports whether a request to the target would have to wait.
func (p *Pool) Full(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.target(id)
	return len(l.idle) == 0 && l.open >= l.maxOpen
}

// Drop closes the idle connections to a target that is gone.
func (p *Pool) Drop(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.targets[id]
	if l == nil {
		return
	}
	for _, c := range l.idle {
		_ = c.raw.Close()
		l.open--
	}
	l.idle = nil
	if l.open == 0 && len(l.waiters) == 0 {
		delete(p.targets, id)
	}
}

// Prune closes idle connections that are no longer sound.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.targets {
		kept := l.idle[:0]
		for i, c := range l.idle {
			if c.usable(now) && (i == len(l.idle)-1 || now.Sub(c.lastUsed) < maxSpareIdleTime) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
			l.open--
		}
		l.idle = kept
	}
}

// reserve returns an idle connection, or nil if one may be opened, or a channel
// that is closed when it is worth asking again. Connections that have been idle for
// longer than the given time are closed.
func (p *Pool) reserve(id string, idle time.Duration) (*conn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.target(id)
	now := time.Now()
	for n := len(l.idle); n > 0; n = len(l.idle) {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		if now.Sub(c.lastUsed) < idle && c.usable(now) {
			return c, nil
		}
		_ = c.raw.Close()
		l.open--
	}
	if l.open < l.maxOpen {
		l.open++
		return nil, nil
	}
	wake := make(chan struct{})
	l.waiters = append(l.waiters, wake)
	return nil, wake
}

// release gives a connection back, or closes it; nil stands for one that was not
// opened.
func (p *Pool) release(id string, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.target(id)
	if c != nil && reuse && l.open <= l.maxOpen {
		c.lastUsed = time.Now()
		l.idle = append(l.idle, c)
	} else {
		if c != nil {
			_ = c.raw.Close()
		}
		l.open--
	}
	if len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
}

func (p *Pool) acquire(ctx context.Context, t Target, once bool) (*conn, Reply, bool) {
	idle := maxIdleTime
	if once {
		idle = maxNonIdempotentIdleTime
	}
	for {
		c, wake := p.reserve(t.ID, idle)
		switch {
		case c != nil:
			return c, Reply{}, true
		case wake != nil:
			select {
			case <-wake:
				continue
			case <-ctx.Done():
				p.cancelWait(t.ID, wake)
				return nil, Reply{Outcome: search.NotSent, Reason: reasonNoConnection, Local: true, Err: ctx.Err()}, false
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

// cancelWait takes a waiter out of its queue; one that was just woken wakes the next.
func (p *Pool) cancelWait(id string, wake chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.target(id)
	for i, w := range l.waiters {
		if w == wake {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return
		}
	}
	if len(l.waiters) > 0 {
		close(l.waiters[0])
		l.waiters = l.waiters[1:]
	}
}

func dialFailure(ctx context.Context, err error) Reply {
	r := Reply{Outcome: search.NotSent, Reason: reasonConnectTimeout, Err: err}
	switch {
	case ctx.Err() != nil:
		r.Reason, r.Local = reasonCancelled, true
	case errors.Is(err, syscall.ECONNRESET):
		r.Reason = reasonConnectReset
	case errors.Is(err, syscall.ECONNREFUSED):
		r.Reason = reasonConnectRefused
	}
	return r
}

// Do sends a request to a target and returns how that ended. left is asked for
// the time left once the request can be written. When ctx ends, the connection
// is closed, so that the target can stop.
func (p *Pool) Do(ctx context.Context, t Target, a *Ask, left func() time.Duration) Reply {
	c, failed, ok := p.acquire(ctx, t, a.Once)
	if !ok {
		return failed
	}
	rest := left()
	if rest <= 0 || ctx.Err() != nil {
		p.release(t.ID, c, true)
		return Reply{Outcome: search.NotSent, Reason: reasonCancelled, Local: true}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	r := p.roundTrip(c, t, a, rest)
	if !stop() {
		c.noReuse = true
		if r.Outcome == search.Unknown {
			r.Reason = reasonCancelled
		}
	}
	p.release(t.ID, c, !c.noReuse && r.Err == nil)
	return r
}

func (p *Pool) roundTrip(c *conn, t Target, a *Ask, left time.Duration) Reply {
	if err := c.raw.SetDeadline(time.Now().Add(left + answerGrace)); err != nil {
		return Reply{Outcome: search.NotSent, Reason: reasonWriteFailed, Err: err}
	}
	if err := c.write(a, t, p.protocol, left); err != nil {
		return Reply{Outcome: search.Unknown, Reason: reasonWriteFailed, Err: err}
	}
	r, err := c.read(a, p.protocol)
	if err != nil {
		reason := failureReason(err)
		return Reply{Outcome: search.Unknown, Reason: reason, Silent: reason == reasonSilent, Err: err}
	}
	c.updateReuse(r.Header)
	p.protocol.Interpret(r.Header, &r)
	return r
}

func failureReason(err error) string {
	var n net.Error
	switch {
	case errors.Is(err, errAnswerTooLong):
		return reasonAnswerTooLong
	case errors.Is(err, errMismatchedAnswers):
		return reasonCrossedAnswers
	case errors.Is(err, io.ErrUnexpectedEOF):
		return reasonTruncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonSilent
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &n):
		return reasonConnectionBroken
	}
	return reasonBadFormat
}

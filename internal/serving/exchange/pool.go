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
	// silentTimeout ends a connection whose peer acknowledges nothing.
	silentTimeout = 1500 * time.Millisecond
	// spareIdle is how long more than one idle connection to a target is kept: a
	// target may count those of a host that lost its power for long.
	spareIdle = 2 * time.Second
	// onceIdle is how long a connection may have been idle on which a request is sent
	// that may run once only. A target may forget idle connections without notice.
	onceIdle = 200 * time.Millisecond
	// overtime is how much longer than its time limit a target may take to
	// answer.
	overtime = 350 * time.Millisecond
)

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a connection that does not wait for long on a peer that is gone.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentTimeout.Milliseconds()))
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
	dial    DialFunc
	dialect Protocol
	// opened is called for each connection that is opened.
	opened func()
	mu     sync.Mutex
	lanes  map[string]*lane
}

// lane is the connections to one target.
type lane struct {
	idle    []*conn
	open    int
	most    int
	waiting []chan struct{}
}

// Reset makes the pool empty.
func (p *Pool) Reset(dial DialFunc, dialect Protocol, opened func()) {
	p.dial, p.dialect, p.opened = dial, dialect, opened
	p.lanes = map[string]*lane{}
}

func (p *Pool) lane(id string) *lane {
	l := p.lanes[id]
	if l == nil {
		l = &lane{most: 1}
		p.lanes[id] = l
	}
	return l
}

// SetMaxConns sets the number of connections to a target.
func (p *Pool) SetMaxConns(id string, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lane(id).most = max(1, most)
}

// Exhausted reports whether a request to the target would have to wait.
func (p *Pool) Exhausted(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(id)
	return len(l.idle) == 0 && l.open >= l.most
}

// CloseIdle closes the idle connections to a target that is gone.
func (p *Pool) CloseIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lanes[id]
	if l == nil {
		return
	}
	for _, c := range l.idle {
		_ = c.raw.Close()
		l.open--
	}
	l.idle = nil
	if l.open == 0 && len(l.waiting) == 0 {
		delete(p.lanes, id)
	}
}

// Prune closes idle connections that are no longer sound.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lanes {
		kept := l.idle[:0]
		for i, c := range l.idle {
			if c.sound(now) && (i == len(l.idle)-1 || now.Sub(c.used) < spareIdle) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close()
			l.open--
		}
		l.idle = kept
	}
}

// take returns an idle connection, or nil if one may be opened, or a channel
// that is closed when it is worth asking again. Connections that have been idle for
// longer than the given time are closed.
func (p *Pool) take(id string, idle time.Duration) (*conn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(id)
	now := time.Now()
	for n := len(l.idle); n > 0; n = len(l.idle) {
		c := l.idle[n-1]
		l.idle = l.idle[:n-1]
		if now.Sub(c.used) < idle && c.sound(now) {
			return c, nil
		}
		_ = c.raw.Close()
		l.open--
	}
	if l.open < l.most {
		l.open++
		return nil, nil
	}
	wake := make(chan struct{})
	l.waiting = append(l.waiting, wake)
	return nil, wake
}

// put gives a connection back, or closes it; nil stands for one that was not
// opened.
func (p *Pool) put(id string, c *conn, reuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(id)
	if c != nil && reuse && l.open <= l.most {
		c.used = time.Now()
		l.idle = append(l.idle, c)
	} else {
		if c != nil {
			_ = c.raw.Close()
		}
		l.open--
	}
	if len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

func (p *Pool) acquire(ctx context.Context, t Target, once bool) (*conn, Reply, bool) {
	idle := idleMost
	if once {
		idle = onceIdle
	}
	for {
		c, wake := p.take(t.ID, idle)
		switch {
		case c != nil:
			return c, Reply{}, true
		case wake != nil:
			select {
			case <-wake:
				continue
			case <-ctx.Done():
				p.leave(t.ID, wake)
				return nil, Reply{Outcome: search.NotSent, Reason: reasonNoConnection, LocalFailure: true, Err: ctx.Err()}, false
			}
		}
		raw, err := p.dial(ctx, t.Address)
		if err != nil {
			p.put(t.ID, nil, false)
			return nil, unreachable(ctx, err), false
		}
		p.opened()
		return newConn(raw), Reply{}, true
	}
}

// leave takes a waiter out of its queue; one that was just woken wakes the next.
func (p *Pool) leave(id string, wake chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(id)
	for i, w := range l.waiting {
		if w == wake {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
	if len(l.waiting) > 0 {
		close(l.waiting[0])
		l.waiting = l.waiting[1:]
	}
}

func unreachable(ctx context.Context, err error) Reply {
	r := Reply{Outcome: search.NotSent, Reason: reasonConnect, Err: err}
	switch {
	case ctx.Err() != nil:
		r.Reason, r.LocalFailure = reasonCancelled, true
	case errors.Is(err, syscall.ECONNRESET):
		r.Reason = reasonReset
	case errors.Is(err, syscall.ECONNREFUSED):
		r.Reason = reasonRefused
	}
	return r
}

// Do sends a request to a target and returns how that ended. left is asked for
// the time left once the request can be written. When ctx ends, the connection
// is closed, so that the target can stop.
func (p *Pool) Do(ctx context.Context, t Target, a *Request, left func() time.Duration) Reply {
	c, failed, ok := p.acquire(ctx, t, a.NonIdempotent)
	if !ok {
		return failed
	}
	rest := left()
	if rest <= 0 || ctx.Err() != nil {
		p.put(t.ID, c, true)
		return Reply{Outcome: search.NotSent, Reason: reasonCancelled, LocalFailure: true}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.SetDeadline(time.Unix(1, 0)) })
	r := p.exchange(c, t, a, rest)
	if !stop() {
		c.last = true
		if r.Outcome == search.Unknown {
			r.Reason = reasonCancelled
		}
	}
	p.put(t.ID, c, !c.last && r.Err == nil)
	return r
}

func (p *Pool) exchange(c *conn, t Target, a *Request, left time.Duration) Reply {
	if err := c.raw.SetDeadline(time.Now().Add(left + overtime)); err != nil {
		return Reply{Outcome: search.NotSent, Reason: reasonWrite, Err: err}
	}
	if err := c.write(a, t, p.dialect, left); err != nil {
		return Reply{Outcome: search.Unknown, Reason: reasonWrite, Err: err}
	}
	r, err := c.read(a, p.dialect)
	if err != nil {
		reason := reasonOf(err)
		return Reply{Outcome: search.Unknown, Reason: reason, TimedOut: reason == reasonSilent, Err: err}
	}
	c.keep(r.Header)
	p.dialect.ParseReplyHeader(r.Header, &r)
	return r
}

func reasonOf(err error) string {
	var n net.Error
	switch {
	case errors.Is(err, errTooLong):
		return reasonTooLong
	case errors.Is(err, errCrossed):
		return reasonCrossed
	case errors.Is(err, io.ErrUnexpectedEOF):
		return reasonTruncated
	case errors.Is(err, os.ErrDeadlineExceeded):
		return reasonSilent
	case errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.As(err, &n):
		return reasonBroken
	}
	return reasonFormat
}

package link

import (
	"context"
	"time"
)

// check is the duty that notices a connection on which nothing comes back, and
// one that is idle. It sleeps while nothing is under way.
func (l *Link) check(ctx context.Context, c *conn) {
	for ctx.Err() == nil {
		if !l.underWay() {
			select {
			case <-l.busy:
			case <-time.After(IdleTimeout):
			case <-ctx.Done():
				return
			}
			if l.idle(time.Now()) {
				_ = c.Close()
				return
			}
		}
		select {
		case <-time.After(checkEvery):
		case <-ctx.Done():
			return
		}
		if l.quiet(time.Now()) && !l.test(ctx, c) {
			return
		}
	}
}

// test calls the peer and closes the connection when no answer comes.
func (l *Link) test(ctx context.Context, c *conn) bool {
	limited, cancel := context.WithTimeout(ctx, silentAfter)
	defer cancel()
	var pong struct{}
	if err := c.Call(limited, MethodPing, struct{}{}, &pong); err != nil {
		if ctx.Err() == nil {
			l.receiver.HandleConnectionTimeout()
		}
		_ = c.Close()
		return false
	}
	l.mu.Lock()
	l.heard = time.Now()
	l.mu.Unlock()
	return true
}

func (l *Link) underWay() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

func (l *Link) idle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && now.Sub(l.used) >= IdleTimeout
}

// quiet reports whether parts are under way and nothing has come back for too
// long.
func (l *Link) quiet(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return false
	}
	return now.Sub(l.heard) > silentAfter && now.Sub(l.asked) > silentAfter/2
}

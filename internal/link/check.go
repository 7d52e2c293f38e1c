package link

import (
	"context"
	"time"
)

// checkLoop closes a connection on which no replies arrive, and one that is
// idle. It sleeps while no parts are in flight.
func (l *Link) checkLoop(ctx context.Context, c *conn) {
	for ctx.Err() == nil {
		if !l.hasPending() {
			select {
			case <-l.partsAdded:
			case <-time.After(IdleTimeout):
			case <-ctx.Done():
				return
			}
			if l.isIdle(time.Now()) {
				_ = c.Close()
				return
			}
		}
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
			return
		}
		if l.isSilent(time.Now()) && !l.ping(ctx, c) {
			return
		}
	}
}

// ping calls the peer and closes the connection if there is no reply in time.
// It reports whether there was one.
func (l *Link) ping(ctx context.Context, c *conn) bool {
	pingCtx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	var pong struct{}
	if err := c.Call(pingCtx, MethodPing, struct{}{}, &pong); err != nil {
		if ctx.Err() == nil {
			l.handler.HandleConnectionTimeout()
		}
		_ = c.Close()
		return false
	}
	l.mu.Lock()
	l.lastReceived = time.Now()
	l.mu.Unlock()
	return true
}

func (l *Link) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0
}

func (l *Link) isIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) == 0 && now.Sub(l.lastUsed) >= IdleTimeout
}

// isSilent reports whether parts are in flight, no reply has arrived for longer
// than silenceTimeout and no request has been sent for longer than half of it.
func (l *Link) isSilent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return false
	}
	return now.Sub(l.lastReceived) > silenceTimeout && now.Sub(l.lastSent) > silenceTimeout/2
}

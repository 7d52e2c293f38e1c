package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdleTime is how long a caller's connection may be idle if the manifest sets no
	// limit.
	maxIdleTime = time.Minute
	// idleMargin is added to the limit, so that a request that a caller sends within the
	// limit does not arrive on a connection that has just been closed.
	idleMargin = time.Second
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = time.Second
	// firstRequestTime is how long a stopping host waits for the first request on a
	// connection that it has just accepted.
	firstRequestTime = 50 * time.Millisecond
)

// callerConns tracks the connections of callers and the time since when each has no
// request. The zero value is ready to use. Its methods are safe for concurrent use.
type callerConns struct {
	mu        sync.Mutex
	idleSince map[*callerConn]time.Time
	open      map[*callerConn]bool
}

// setState records the state of a connection; it is used as http.Server.ConnState.
func (cs *callerConns) setState(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*callerConn)
	if !ok {
		return
	}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open, cs.idleSince = map[*callerConn]bool{}, map[*callerConn]time.Time{}
	}
	switch state {
	case http.StateNew:
		cs.open[c], cs.idleSince[c] = true, time.Now()
	case http.StateIdle:
		cs.idleSince[c] = time.Now()
		c.requestEnded()
	case http.StateActive:
		delete(cs.idleSince, c)
	case http.StateClosed, http.StateHijacked:
		delete(cs.open, c)
		delete(cs.idleSince, c)
	}
}

// closeIdle closes the connections that have had no request for longer than a limit and
// returns their number. A connection on which a request has begun to arrive is closed
// after its answer instead.
func (cs *callerConns) closeIdle(now time.Time, limit time.Duration) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	n := 0
	for c, since := range cs.idleSince {
		if now.Sub(since) > limit && c.closeWhenIdle() {
			n++
		}
	}
	return n
}

// drain closes the connections as they become idle, until none is left or ctx ends.
func (cs *callerConns) drain(ctx context.Context) error {
	for {
		cs.closeIdle(time.Now(), firstRequestTime)
		cs.mu.Lock()
		n := len(cs.open)
		cs.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-time.After(stopPollInterval / 5):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// closeIdleLoop closes idle connections of callers by the limit in force until ctx ends.
func (s *Server) closeIdleLoop(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		limit := maxIdleTime
		if m := s.gateway.Manifest(); m != nil && m.Limits().IdleTimeout > 0 {
			limit = m.Limits().IdleTimeout + idleMargin
		}
		s.stats.Add("caller-connections-idle-ended", s.callerConns.closeIdle(time.Now(), limit))
	}
}

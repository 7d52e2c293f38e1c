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
)

// idleConns tracks the idle connections of callers and the time since when each is idle.
// The zero value is ready to use. Its methods are safe for concurrent use.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// setState records the state of a connection; it is used as http.Server.ConnState.
func (i *idleConns) setState(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state != http.StateIdle {
		delete(i.since, c)
		return
	}
	if i.since == nil {
		i.since = map[net.Conn]time.Time{}
	}
	i.since[c] = time.Now()
}

// closeIdle closes the connections that have been idle for longer than a limit and returns
// their number.
func (i *idleConns) closeIdle(now time.Time, limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.since {
		if now.Sub(since) > limit {
			delete(i.since, c)
			_ = c.Close()
			n++
		}
	}
	return n
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
		s.stats.Add("caller-connections-idle-ended", s.idleConns.closeIdle(time.Now(), limit))
	}
}

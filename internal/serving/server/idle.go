package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxIdleTime is how long a caller's connection may be idle while the manifest sets
	// no limit.
	maxIdleTime = time.Minute
	// idleMargin is added to the limit, so that a request that a caller sends within
	// it does not meet the end of the connection.
	idleMargin = time.Second
	// idleCheckInterval is how often idle connections are looked at.
	idleCheckInterval = time.Second
)

// idleConns follows which connections of callers are idle, and since when. The zero
// value is ready. Its methods may be called from several goroutines.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// setState takes the state of a connection, as for http.Server.ConnState.
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
// how many.
func (i *idleConns) closeIdle(now time.Time, limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, at := range i.since {
		if now.Sub(at) > limit {
			delete(i.since, c)
			_ = c.Close()
			n++
		}
	}
	return n
}

// closeIdleLoop closes idle connections of callers by the limit in force, until ctx ends.
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

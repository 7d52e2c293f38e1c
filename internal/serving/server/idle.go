package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleMost is how long a caller's connection may be idle while the manifest sets
	// no limit.
	idleMost = time.Minute
	// idleMargin is added to the limit, so that a request that a caller sends within
	// it does not meet the end of the connection.
	idleMargin = time.Second
	// idleEach is how often idle connections are looked at.
	idleEach = time.Second
)

// idleConns follows which connections of callers are idle, and since when. The zero
// value is ready. Its methods may be called from several goroutines.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// note takes the state of a connection, as for http.Server.ConnState.
func (i *idleConns) note(c net.Conn, state http.ConnState) {
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

// end closes the connections that have been idle for longer than a limit and returns
// how many.
func (i *idleConns) end(now time.Time, limit time.Duration) int {
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

// endIdle closes idle connections of callers by the limit in force, until ctx ends.
func (s *Server) endIdle(ctx context.Context) {
	t := time.NewTicker(idleEach)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		limit := idleMost
		if m := s.gateway.Manifest(); m != nil && m.Limits().IdleTimeout > 0 {
			limit = m.Limits().IdleTimeout + idleMargin
		}
		s.tally.Add("caller-connections-idle-ended", s.idle.end(time.Now(), limit))
	}
}

package relay

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
)

// SendFunc sends a part to a target and waits for its end. left is asked for the
// time left when the part can be written.
type SendFunc func(ctx context.Context, target string, a *exchange.Request, left func() time.Duration) exchange.Reply

// Serve sends parts for other hosts that connect to the listener, until ctx ends.
func Serve(ctx context.Context, l net.Listener, send SendFunc, log *slog.Logger) {
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				log.Error("connections for parts are no longer taken", "error", err)
			}
			return
		}
		s := &session{send: send, log: log, open: map[int]context.CancelFunc{}}
		s.ctx, s.cancel = context.WithCancel(ctx)
		bound(raw)
		c := jsonrpc2.NewConn(s.ctx, jsonrpc2.NewPlainObjectStream(raw), s)
		go func() {
			select {
			case <-c.DisconnectNotify():
			case <-s.ctx.Done():
				_ = c.Close()
			}
			s.cancel()
		}()
	}
}

// session is a connection from another host.
type session struct {
	send   SendFunc
	log    *slog.Logger
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	open map[int]context.CancelFunc
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(_ context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Params == nil {
		return
	}
	switch r.Method {
	case methodAsk:
		var m wire.Request
		if err := json.Unmarshal(*r.Params, &m); err != nil {
			s.log.Warn("message of a host not readable", "method", r.Method, "error", err)
			_ = c.Close()
			return
		}
		s.ask(c, m)
	case methodCancel:
		var m wire.Cancel
		if err := json.Unmarshal(*r.Params, &m); err != nil {
			s.log.Warn("message of a host not readable", "method", r.Method, "error", err)
			return
		}
		s.mu.Lock()
		cancel := s.open[m.Number]
		s.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
}

func (s *session) ask(c *jsonrpc2.Conn, m wire.Request) {
	a, err := decodeAsk(time.Now(), m)
	if err != nil || len(a.Targets) == 0 {
		s.log.Warn("parts of a host not readable", "id", m.ID, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.mu.Lock()
	s.open[m.Number] = cancel
	s.mu.Unlock()
	ended := make(chan PartResult, len(a.Targets))
	for i, target := range a.Targets {
		go func() {
			began := time.Now()
			reply := s.send(ctx, target, a.CallerRequest, a.left)
			ended <- PartResult{Index: i, Reply: reply, Elapsed: time.Since(began)}
		}()
	}
	go func() {
		s.collect(c, m.Number, a, ended)
		s.mu.Lock()
		delete(s.open, m.Number)
		s.mu.Unlock()
		cancel()
	}()
}

// left returns the time that a target is given now.
func (a *Request) left() time.Duration {
	now := time.Now()
	if !a.SoftDeadline.IsZero() && now.Before(a.SoftDeadline) {
		return a.SoftDeadline.Sub(now)
	}
	return a.Deadline.Sub(now)
}

func (s *session) collect(c *jsonrpc2.Conn, number int, a Request, ended <-chan PartResult) {
	var collector Collector
	collector.Reset(len(a.Targets), a.FlushTime, a.MaxRecords)
	timer := time.NewTimer(time.Until(a.FlushTime))
	defer timer.Stop()
	for collector.Left() > 0 {
		due := false
		select {
		case p := <-ended:
			due = collector.Add(time.Now(), p)
		case <-timer.C:
			due = collector.Flush()
		}
		if !due {
			continue
		}
		if err := c.Notify(s.ctx, methodTold, encodeTold(number, collector.Take())); err != nil {
			s.log.Debug("parts not told", "error", err)
			return
		}
	}
}

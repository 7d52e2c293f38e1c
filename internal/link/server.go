package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/peer"
	"fescuerill/ring"
)

// Handler answers what comes from other daemons. Its methods do not block.
type Handler interface {
	// Ask takes parts; the answers go to the Teller.
	Ask(t *Teller, a peer.Asks)
	// Call answers a request.
	Call(ctx context.Context, method string, params json.RawMessage) (any, error)
	// Dropped is called when a peer is dropped for what it sent.
	Dropped(err error)
}

// Teller sends answers to the daemon that asked.
type Teller struct {
	queue    ring.Ring[outgoingReply]
	lastSent map[string]string
	mu       sync.Mutex
}

type outgoingReply struct {
	reply *peer.Told
	state *peer.TargetState
}

// Tell sends the answer to a part. It reports whether there was room.
func (t *Teller) Tell(p peer.Told) bool { return t.queue.Push(outgoingReply{reply: &p}) }

// State sends the state of a target when it differs from what was last sent.
func (t *Teller) State(s peer.TargetState) {
	t.mu.Lock()
	news := t.lastSent[s.Target] != s.State
	t.lastSent[s.Target] = s.State
	t.mu.Unlock()
	if news {
		t.queue.Push(outgoingReply{state: &s})
	}
}

// Refresh sends the state of a target in any case.
func (t *Teller) Refresh(s peer.TargetState) { t.queue.Push(outgoingReply{state: &s}) }

// Server accepts links. Serve makes one.
type Server struct {
	listener net.Listener
	handler  Handler
	traffic  *Traffic
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Serve accepts links at the listener until Close.
func Serve(l net.Listener, h Handler, t *Traffic) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, handler: h, traffic: t, cancel: cancel}
	s.done.Go(func() { s.accept(ctx) })
	return s
}

// Close ends all connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.done.Wait()
}

func (s *Server) accept(ctx context.Context) {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.done.Go(func() { s.serve(ctx, raw) })
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := &Teller{lastSent: map[string]string{}}
	c := newConn(ctx, raw, s.traffic, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		answer, err := s.handleCall(ctx, method, params)
		if err != nil {
			s.handler.Dropped(err)
		}
		return answer, err
	}, func(k kind, text []byte) error {
		err := s.handleData(t, k, text)
		if err != nil {
			s.handler.Dropped(err)
		}
		return err
	})
	s.done.Go(func() { t.sendLoop(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = c.Close()
}

func (s *Server) handleCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == MethodPing {
		return struct{}{}, nil
	}
	return s.handler.Call(ctx, method, params)
}

// handleData takes parts.
func (s *Server) handleData(t *Teller, k kind, text []byte) error {
	if k != kindRequests {
		return ErrKind
	}
	var a peer.Asks
	if _, err := a.UnmarshalMsg(text); err != nil {
		return errors.Wrap(err, "link: ask")
	}
	s.handler.Ask(t, a)
	return nil
}

// sendLoop is the duty that drains answers.
func (t *Teller) sendLoop(ctx context.Context, c *conn) {
	var batch []outgoingReply
	for {
		select {
		case <-t.queue.Ready():
		case <-ctx.Done():
			return
		}
		batch = t.queue.Drain(batch[:0])
		if len(batch) == 0 {
			continue
		}
		m := peer.Tells{Parts: []peer.Told{}}
		for _, b := range batch {
			if b.reply != nil {
				m.Parts = append(m.Parts, *b.reply)
			} else {
				m.Targets = append(m.Targets, *b.state)
			}
		}
		if c.stream.writeData(kindReplies, &m) != nil {
			_ = c.Close()
			return
		}
	}
}

// Address returns the IP address and port at which links are accepted.
func (s *Server) Address() string { return s.listener.Addr().String() }

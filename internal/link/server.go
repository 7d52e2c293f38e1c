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
	// HandleParts takes parts; the answers go to the Teller.
	HandleParts(t *Responder, a peer.PartRequests)
	// HandleCall answers a request.
	HandleCall(ctx context.Context, method string, params json.RawMessage) (any, error)
	// HandleProtocolError is called when a peer is dropped for what it sent.
	HandleProtocolError(err error)
}

// Responder sends answers to the daemon that asked.
type Responder struct {
	out  ring.Ring[told]
	seen map[string]string
	mu   sync.Mutex
}

type told struct {
	part  *peer.PartReply
	state *peer.TargetState
}

// Reply sends the answer to a part. It reports whether there was room.
func (t *Responder) Reply(p peer.PartReply) bool { return t.out.Push(told{part: &p}) }

// SendStateIfChanged sends the state of a target when it differs from what was last sent.
func (t *Responder) SendStateIfChanged(s peer.TargetState) {
	t.mu.Lock()
	news := t.seen[s.Target] != s.State
	t.seen[s.Target] = s.State
	t.mu.Unlock()
	if news {
		t.out.Push(told{state: &s})
	}
}

// SendState sends the state of a target in any case.
func (t *Responder) SendState(s peer.TargetState) { t.out.Push(told{state: &s}) }

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
	t := &Responder{seen: map[string]string{}}
	c := newConn(ctx, raw, s.traffic, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		answer, err := s.call(ctx, method, params)
		if err != nil {
			s.handler.HandleProtocolError(err)
		}
		return answer, err
	}, func(k kind, text []byte) error {
		err := s.ask(t, k, text)
		if err != nil {
			s.handler.HandleProtocolError(err)
		}
		return err
	})
	s.done.Go(func() { t.send(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = c.Close()
}

func (s *Server) call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == MethodPing {
		return struct{}{}, nil
	}
	return s.handler.HandleCall(ctx, method, params)
}

// ask takes parts.
func (s *Server) ask(t *Responder, k kind, text []byte) error {
	if k != kindAsk {
		return ErrUnexpectedKind
	}
	var a peer.PartRequests
	if _, err := a.UnmarshalMsg(text); err != nil {
		return errors.Wrap(err, "link: ask")
	}
	s.handler.HandleParts(t, a)
	return nil
}

// send is the duty that drains answers.
func (t *Responder) send(ctx context.Context, c *conn) {
	var batch []told
	for {
		select {
		case <-t.out.Ready():
		case <-ctx.Done():
			return
		}
		batch = t.out.Drain(batch[:0])
		if len(batch) == 0 {
			continue
		}
		m := peer.PartReplies{Parts: []peer.PartReply{}}
		for _, b := range batch {
			if b.part != nil {
				m.Parts = append(m.Parts, *b.part)
			} else {
				m.Targets = append(m.Targets, *b.state)
			}
		}
		if c.stream.writeData(kindTell, &m) != nil {
			_ = c.Close()
			return
		}
	}
}

// Address returns the IP address and port at which links are accepted.
func (s *Server) Address() string { return s.listener.Addr().String() }

package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/pkg/errors"

	"fescuerill/internal/network/frame"
	"fescuerill/internal/schema/peer"
	"fescuerill/ring"
)

// Handler handles messages from other daemons. Its methods must not block,
// except HandleCall, which runs in a goroutine of its own.
type Handler interface {
	// HandleParts handles requests for parts. The replies are sent with r.
	HandleParts(r *Responder, requests peer.PartRequests)
	// HandleCall returns the result of a call. If it returns an error, the
	// connection is closed.
	HandleCall(ctx context.Context, method string, params json.RawMessage) (any, error)
	// HandleProtocolError is called before a connection is closed because of an
	// invalid message from the peer or an error of HandleCall.
	HandleProtocolError(err error)
}

// Responder sends replies on the connection from which the requests came.
type Responder struct {
	queue    ring.Ring[outgoingReply]
	lastSent map[string]string
	mu       sync.Mutex
}

type outgoingReply struct {
	reply *peer.PartReply
	state *peer.TargetState
}

// Reply queues the reply to a part. It reports whether the queue had room.
func (r *Responder) Reply(p peer.PartReply) bool { return r.queue.Push(outgoingReply{reply: &p}) }

// SendStateIfChanged queues the state of a target if it differs from the one
// sent last.
func (r *Responder) SendStateIfChanged(s peer.TargetState) {
	r.mu.Lock()
	changed := r.lastSent[s.Target] != s.State
	r.lastSent[s.Target] = s.State
	r.mu.Unlock()
	if changed {
		r.queue.Push(outgoingReply{state: &s})
	}
}

// SendState queues the state of a target even if it has not changed.
func (r *Responder) SendState(s peer.TargetState) { r.queue.Push(outgoingReply{state: &s}) }

// Server accepts connections from links. Serve starts one.
type Server struct {
	listener net.Listener
	handler  Handler
	traffic  *Traffic
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// Serve accepts connections at the listener until Close is called.
func Serve(l net.Listener, h Handler, t *Traffic) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{listener: l, handler: h, traffic: t, cancel: cancel}
	s.done.Go(func() { s.accept(ctx) })
	return s
}

// Close stops the server and closes all connections.
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
	r := &Responder{lastSent: map[string]string{}}
	c := newConn(ctx, raw, s.traffic, func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		result, err := s.handleCall(ctx, method, params)
		if err != nil {
			s.handler.HandleProtocolError(err)
		}
		return result, err
	}, func(k frame.Kind, body []byte) error {
		err := s.handleData(r, k, body)
		if err != nil {
			s.handler.HandleProtocolError(err)
		}
		return err
	})
	s.done.Go(func() { r.sendLoop(ctx, c) })
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
	return s.handler.HandleCall(ctx, method, params)
}

// handleData handles a message with requests for parts.
func (s *Server) handleData(r *Responder, k frame.Kind, body []byte) error {
	if k != kindRequests {
		return frame.ErrUnexpectedKind
	}
	var requests peer.PartRequests
	if _, err := requests.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "link: decode requests")
	}
	s.handler.HandleParts(r, requests)
	return nil
}

// sendLoop sends the queued replies and target states.
func (r *Responder) sendLoop(ctx context.Context, c *conn) {
	var batch []outgoingReply
	for {
		select {
		case <-r.queue.Ready():
		case <-ctx.Done():
			return
		}
		batch = r.queue.Drain(batch[:0])
		if len(batch) == 0 {
			continue
		}
		m := peer.PartReplies{Parts: []peer.PartReply{}}
		for _, b := range batch {
			if b.reply != nil {
				m.Parts = append(m.Parts, *b.reply)
			} else {
				m.Targets = append(m.Targets, *b.state)
			}
		}
		if c.stream.WriteData(kindReplies, &m) != nil {
			_ = c.Close()
			return
		}
	}
}

// Address returns the IP address and port of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

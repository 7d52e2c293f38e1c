package link

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/network"
	"fescuerill/internal/network/frame"
	"fescuerill/internal/schema/peer"
	"fescuerill/ring"
)

// Timeouts of a link.
const (
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// silenceTimeout is the time without a reply, while parts are in flight,
	// after which the connection is checked with a ping. It is also the
	// timeout of the ping.
	silenceTimeout = 150 * time.Millisecond
	checkInterval  = 50 * time.Millisecond
	// IdleTimeout is the time without requests after which a connection is
	// closed.
	IdleTimeout = 30 * time.Second
)

// ErrNoConnection is returned by Link.Call if no connection could be used.
var ErrNoConnection = errors.New("link: no connection")

// ReplyHandler handles the replies and failures of a link. Its methods are
// called by the goroutines of the link and must not block.
type ReplyHandler interface {
	// HandleReplies handles replies to parts.
	HandleReplies(r peer.PartReplies)
	// HandleLost handles parts whose replies can no longer arrive. sent reports
	// whether the parts may have reached the owner.
	HandleLost(q peer.QueryParts, sent bool)
	// HandleConnectionTimeout is called when a connection is closed because the
	// peer did not reply in time.
	HandleConnectionTimeout()
}

// Link sends requests to the daemon at one address. The connection is opened
// when it is first needed and closed when it is idle. New returns a Link and
// starts its goroutine.
type Link struct {
	network    network.Network
	address    string
	handler    ReplyHandler
	traffic    *Traffic
	queue      ring.Ring[outgoing]
	dialNeeded chan struct{}
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu   sync.Mutex
	conn *conn
	// dialDone is closed when the dial in progress, or else the next one, ends.
	dialDone     chan struct{}
	backingOff   bool
	pending      map[partKey]pendingPart
	lastReceived time.Time
	lastSent     time.Time
	lastUsed     time.Time
	partsAdded   chan struct{}
}

type outgoing struct {
	request *peer.QueryParts
	cancel  *peer.Cancel
}

type partKey struct {
	query, id int
}

type pendingPart struct {
	part peer.Part
	sent bool
}

// New returns a link over the network to the peer at the IP address and port.
func New(n network.Network, address string, h ReplyHandler, t *Traffic) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		network: n, address: address, handler: h, traffic: t, cancel: cancel, pending: map[partKey]pendingPart{},
		dialNeeded: make(chan struct{}, 1), partsAdded: make(chan struct{}, 1), dialDone: make(chan struct{}),
	}
	l.done.Go(func() { l.dialLoop(ctx) })
	return l
}

// Close closes the link. Parts in flight are passed to the handler as lost.
func (l *Link) Close() {
	l.cancel()
	l.done.Wait()
}

// wake sends a signal on a channel with a buffer of one. It does nothing if a
// signal is already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// SendParts sends parts. Parts that can't be sent are passed to the handler as
// lost. That happens at once while the link backs off after a failure.
func (l *Link) SendParts(q peer.QueryParts) {
	l.mu.Lock()
	backingOff := l.backingOff
	if !backingOff {
		l.lastUsed = time.Now()
		for _, p := range q.Parts {
			l.pending[partKey{q.Query, p.ID}] = pendingPart{part: p}
		}
	}
	l.mu.Unlock()
	if backingOff {
		l.handler.HandleLost(q, false)
		return
	}
	if !l.queue.Push(outgoing{request: &q}) {
		l.forget(q)
		l.handler.HandleLost(q, false)
	}
	wake(l.dialNeeded)
	wake(l.partsAdded)
}

// Cancel tells the peer that the results of parts are no longer needed.
func (l *Link) Cancel(c peer.Cancel) {
	l.mu.Lock()
	for _, id := range c.Ids {
		delete(l.pending, partKey{c.Query, id})
	}
	l.mu.Unlock()
	l.queue.Push(outgoing{cancel: &c})
}

// Call sends a request and waits for its result. If there is no connection it
// waits for one until ctx ends or the dial fails. While the link backs off it
// fails at once.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	c, err := l.connection(ctx)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Call(ctx, method, params, result), method)
}

// connection returns the connection. If there is none, it starts a dial and
// waits for it.
func (l *Link) connection(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	c, dialDone, backingOff := l.conn, l.dialDone, l.backingOff
	l.lastUsed = time.Now()
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	if backingOff {
		return nil, ErrNoConnection
	}
	wake(l.dialNeeded)
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, errors.Wrap(ErrNoConnection, ctx.Err().Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, ErrNoConnection
	}
	return l.conn, nil
}

func (l *Link) forget(q peer.QueryParts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range q.Parts {
		delete(l.pending, partKey{q.Query, p.ID})
	}
}

// dialLoop opens a connection whenever one is needed, with a back-off after
// each failure.
func (l *Link) dialLoop(ctx context.Context) {
	delay := baseBackoff
	for ctx.Err() == nil {
		select {
		case <-l.dialNeeded:
		case <-ctx.Done():
			return
		}
		if l.serveConnection(ctx) {
			delay = baseBackoff
			continue
		}
		select {
		case <-time.After(delay/2 + rand.N(delay)):
		case <-ctx.Done():
		}
		delay = min(maxBackoff, delay*2)
		l.mu.Lock()
		l.backingOff = false
		l.mu.Unlock()
	}
}

// serveConnection dials and serves one connection until it ends. It reports
// whether the connection lasted longer than maxBackoff.
func (l *Link) serveConnection(ctx context.Context) bool {
	raw, err := l.network.Dial(ctx, "tcp", l.address)
	if err != nil {
		l.disconnected(true)
		l.failPending()
		return false
	}
	start := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newConn(ctx, raw, l.traffic, refuseCalls, l.handleData)
	l.mu.Lock()
	l.conn = c
	close(l.dialDone)
	l.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { l.sendLoop(ctx, c) })
	loops.Go(func() { l.checkLoop(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	stable := time.Since(start) > maxBackoff
	l.disconnected(!stable)
	_ = c.Close()
	cancel()
	loops.Wait()
	l.failPending()
	return stable
}

// disconnected records that there is no connection. During the back-off new
// parts are rejected.
func (l *Link) disconnected(backingOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		// Wake the callers that wait for this connection.
		close(l.dialDone)
	}
	l.conn = nil
	l.backingOff = backingOff
	l.dialDone = make(chan struct{})
}

// refuseCalls rejects calls: only the dialling side makes calls.
func refuseCalls(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, errors.Errorf("link: unexpected method %q", method)
}

// handleData handles a message with replies to parts.
func (l *Link) handleData(k frame.Kind, body []byte) error {
	if k != kindReplies {
		return frame.ErrUnexpectedKind
	}
	var r peer.PartReplies
	if _, err := r.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "link: decode replies")
	}
	l.mu.Lock()
	l.lastReceived = time.Now()
	for _, p := range r.Parts {
		delete(l.pending, partKey{p.Query, p.ID})
	}
	l.mu.Unlock()
	l.handler.HandleReplies(r)
	return nil
}

// sendLoop sends the queued requests and cancellations.
func (l *Link) sendLoop(ctx context.Context, c *conn) {
	var batch []outgoing
	for {
		select {
		case <-l.queue.Ready():
		case <-ctx.Done():
			return
		}
		batch = l.queue.Drain(batch[:0])
		if len(batch) == 0 {
			continue
		}
		m := l.newMessage(batch)
		if err := c.stream.WriteData(kindRequests, &m); err != nil {
			_ = c.Close()
			return
		}
	}
}

// newMessage puts the queued requests and cancellations into one message and
// marks their parts as sent.
func (l *Link) newMessage(batch []outgoing) peer.PartRequests {
	m := peer.PartRequests{Queries: []peer.QueryParts{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSent = time.Now()
	for _, o := range batch {
		if o.cancel != nil {
			m.Cancels = append(m.Cancels, *o.cancel)
			continue
		}
		m.Queries = append(m.Queries, *o.request)
		for _, p := range o.request.Parts {
			key := partKey{o.request.Query, p.ID}
			if _, ok := l.pending[key]; ok {
				l.pending[key] = pendingPart{p, true}
			}
		}
	}
	return m
}

// failPending passes all queued parts and all parts in flight to the handler as
// lost.
func (l *Link) failPending() {
	for _, o := range l.queue.Drain(nil) {
		if o.request != nil {
			l.forget(*o.request)
			l.handler.HandleLost(*o.request, false)
		}
	}
	l.mu.Lock()
	pending := l.pending
	l.pending = map[partKey]pendingPart{}
	l.mu.Unlock()
	for key, p := range pending {
		l.handler.HandleLost(peer.QueryParts{Query: key.query, Parts: []peer.Part{p.part}}, p.sent)
	}
}

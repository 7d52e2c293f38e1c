package link

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/network"
	"fescuerill/internal/schema/peer"
	"fescuerill/ring"
)

// Times of a link.
const (
	baseBackoff = 20 * time.Millisecond
	maxBackoff  = time.Second
	// silenceTimeout is how long a connection with asks under way may be without
	// an answer before it is tested, and how long the test may take.
	silenceTimeout = 150 * time.Millisecond
	checkInterval  = 50 * time.Millisecond
	// IdleAfter is how long a connection is kept on which nothing is asked.
	IdleAfter = 30 * time.Second
)

// ErrDown is returned by calls while there is no connection.
var ErrDown = errors.New("link: no connection")

// Receiver takes what comes back over a link. Its methods are called by the
// goroutines of the link and do not block.
type Receiver interface {
	// Tell takes answers.
	Tell(t peer.Tells)
	// Lost takes asks that the link cannot answer for. Sent says that they may
	// have reached the owner.
	Lost(a peer.Ask, sent bool)
	// Condemned is called when a connection is given up for silence.
	Condemned()
}

// Link asks the daemon at one address. The connection is made when it is first
// needed and given up when it is idle. New makes a link and starts its
// goroutine.
type Link struct {
	network    network.Network
	address    string
	handler    Receiver
	traffic    *Traffic
	queue      ring.Ring[outgoing]
	dialNeeded chan struct{}
	cancel     context.CancelFunc
	done       sync.WaitGroup

	mu           sync.Mutex
	conn         *conn
	dialed       chan struct{}
	backingOff   bool
	pending      map[partKey]pendingPart
	lastReceived time.Time
	lastSent     time.Time
	lastUsed     time.Time
	partsAdded   chan struct{}
}

type outgoing struct {
	request *peer.Ask
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
func New(n network.Network, address string, r Receiver, t *Traffic) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		network: n, address: address, handler: r, traffic: t, cancel: cancel, pending: map[partKey]pendingPart{},
		dialNeeded: make(chan struct{}, 1), partsAdded: make(chan struct{}, 1), dialed: make(chan struct{}),
	}
	l.done.Go(func() { l.dialLoop(ctx) })
	return l
}

// Close ends the link. What is under way is lost.
func (l *Link) Close() {
	l.cancel()
	l.done.Wait()
}

// wake sends on a channel that holds one value, unless one is there.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Ask sends parts. Parts that cannot be sent are handed to the receiver as
// lost; that is so at once while the peer does not accept connections.
func (l *Link) Ask(a peer.Ask) {
	l.mu.Lock()
	refused := l.backingOff
	if !refused {
		l.lastUsed = time.Now()
		for _, p := range a.Parts {
			l.pending[partKey{a.Query, p.ID}] = pendingPart{part: p}
		}
	}
	l.mu.Unlock()
	if refused {
		l.handler.Lost(a, false)
		return
	}
	if !l.queue.Push(outgoing{request: &a}) {
		l.forget(a)
		l.handler.Lost(a, false)
	}
	wake(l.dialNeeded)
	wake(l.partsAdded)
}

// Cancel says that parts are no longer wanted.
func (l *Link) Cancel(c peer.Cancel) {
	l.mu.Lock()
	for _, id := range c.Ids {
		delete(l.pending, partKey{c.Query, id})
	}
	l.mu.Unlock()
	l.queue.Push(outgoing{cancel: &c})
}

// Call asks for an answer to a request. It waits for a connection as long as
// ctx allows.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	c, err := l.connection(ctx)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Call(ctx, method, params, result), method)
}

// connection returns the connection, and waits for one if there is none.
func (l *Link) connection(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	c, up, refused := l.conn, l.dialed, l.backingOff
	l.lastUsed = time.Now()
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	if refused {
		return nil, ErrDown
	}
	wake(l.dialNeeded)
	select {
	case <-up:
	case <-ctx.Done():
		return nil, errors.Wrap(ErrDown, ctx.Err().Error())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil, ErrDown
	}
	return l.conn, nil
}

func (l *Link) forget(a peer.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range a.Parts {
		delete(l.pending, partKey{a.Query, p.ID})
	}
}

// dialLoop makes a connection whenever one is needed, with a back-off after a
// failure.
func (l *Link) dialLoop(ctx context.Context) {
	wait := baseBackoff
	for ctx.Err() == nil {
		select {
		case <-l.dialNeeded:
		case <-ctx.Done():
			return
		}
		if l.serveConnection(ctx) {
			wait = baseBackoff
			continue
		}
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
		}
		wait = min(maxBackoff, wait*2)
		l.mu.Lock()
		l.backingOff = false
		l.mu.Unlock()
	}
}

// serveConnection dials and serves one connection until it ends. It reports whether
// there was one that did not end at once.
func (l *Link) serveConnection(ctx context.Context) bool {
	raw, err := l.network.Dial(ctx, "tcp", l.address)
	if err != nil {
		l.disconnected(true)
		l.failPending()
		return false
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newConn(ctx, raw, l.traffic, refuseCalls, l.handleData)
	l.mu.Lock()
	l.conn = c
	close(l.dialed)
	l.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(func() { l.sendLoop(ctx, c) })
	duties.Go(func() { l.checkLoop(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	lasted := time.Since(began) > maxBackoff
	l.disconnected(!lasted)
	_ = c.Close()
	cancel()
	duties.Wait()
	l.failPending()
	return lasted
}

// disconnected notes that there is no connection. While refused is set nothing is
// taken.
func (l *Link) disconnected(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		// Those who wait for this connection are told that there is none.
		close(l.dialed)
	}
	l.conn = nil
	l.backingOff = refused
	l.dialed = make(chan struct{})
}

// refuseCalls refuses calls: the side that accepts a connection does not call.
func refuseCalls(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, errors.Errorf("link: unexpected method %q", method)
}

// handleData takes answers to parts.
func (l *Link) handleData(k kind, text []byte) error {
	if k != kindReplies {
		return ErrKind
	}
	var t peer.Tells
	if _, err := t.UnmarshalMsg(text); err != nil {
		return errors.Wrap(err, "link: tell")
	}
	l.mu.Lock()
	l.lastReceived = time.Now()
	for _, p := range t.Parts {
		delete(l.pending, partKey{p.Query, p.ID})
	}
	l.mu.Unlock()
	l.handler.Tell(t)
	return nil
}

// sendLoop is the duty that drains what is to go out.
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
		if err := c.stream.writeData(kindRequests, &m); err != nil {
			_ = c.Close()
			return
		}
	}
}

// newMessage makes one message of what waits and notes that it may reach the owner.
func (l *Link) newMessage(batch []outgoing) peer.Asks {
	m := peer.Asks{Queries: []peer.Ask{}}
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

// failPending hands everything under way to the receiver.
func (l *Link) failPending() {
	for _, o := range l.queue.Drain(nil) {
		if o.request != nil {
			l.forget(*o.request)
			l.handler.Lost(*o.request, false)
		}
	}
	l.mu.Lock()
	pending := l.pending
	l.pending = map[partKey]pendingPart{}
	l.mu.Unlock()
	for key, p := range pending {
		l.handler.Lost(peer.Ask{Query: key.query, Parts: []peer.Part{p.part}}, p.sent)
	}
}

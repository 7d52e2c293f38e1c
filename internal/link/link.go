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
	backoffBase = 20 * time.Millisecond
	backoffCap  = time.Second
	// silentAfter is how long a connection with asks under way may be without
	// an answer before it is tested, and how long the test may take.
	silentAfter = 150 * time.Millisecond
	checkEvery  = 50 * time.Millisecond
	// IdleTimeout is how long a connection is kept on which nothing is asked.
	IdleTimeout = 30 * time.Second
)

// ErrNoConnection is returned by calls while there is no connection.
var ErrNoConnection = errors.New("link: no connection")

// ReplyHandler takes what comes back over a link. Its methods are called by the
// goroutines of the link and do not block.
type ReplyHandler interface {
	// HandleReplies takes answers.
	HandleReplies(t peer.PartReplies)
	// HandleLost takes asks that the link cannot answer for. Sent says that they may
	// have reached the owner.
	HandleLost(a peer.QueryParts, sent bool)
	// HandleConnectionTimeout is called when a connection is given up for silence.
	HandleConnectionTimeout()
}

// Link asks the daemon at one address. The connection is made when it is first
// needed and given up when it is idle. New makes a link and starts its
// goroutine.
type Link struct {
	network  network.Network
	address  string
	receiver ReplyHandler
	traffic  *Traffic
	out      ring.Ring[outgoing]
	needed   chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	conn    *conn
	up      chan struct{}
	refused bool
	pending map[partKey]pendingPart
	heard   time.Time
	asked   time.Time
	used    time.Time
	busy    chan struct{}
}

type outgoing struct {
	ask    *peer.QueryParts
	cancel *peer.Cancel
}

type partKey struct {
	query, id int
}

type pendingPart struct {
	part peer.Part
	sent bool
}

// New returns a link over the network to the peer at the IP address and port.
func New(n network.Network, address string, r ReplyHandler, t *Traffic) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{
		network: n, address: address, receiver: r, traffic: t, cancel: cancel, pending: map[partKey]pendingPart{},
		needed: make(chan struct{}, 1), busy: make(chan struct{}, 1), up: make(chan struct{}),
	}
	l.done.Go(func() { l.run(ctx) })
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

// SendParts sends parts. Parts that cannot be sent are handed to the receiver as
// lost; that is so at once while the peer does not accept connections.
func (l *Link) SendParts(a peer.QueryParts) {
	l.mu.Lock()
	refused := l.refused
	if !refused {
		l.used = time.Now()
		for _, p := range a.Parts {
			l.pending[partKey{a.Query, p.ID}] = pendingPart{part: p}
		}
	}
	l.mu.Unlock()
	if refused {
		l.receiver.HandleLost(a, false)
		return
	}
	if !l.out.Push(outgoing{ask: &a}) {
		l.settle(a)
		l.receiver.HandleLost(a, false)
	}
	wake(l.needed)
	wake(l.busy)
}

// Cancel says that parts are no longer wanted.
func (l *Link) Cancel(c peer.Cancel) {
	l.mu.Lock()
	for _, id := range c.Ids {
		delete(l.pending, partKey{c.Query, id})
	}
	l.mu.Unlock()
	l.out.Push(outgoing{cancel: &c})
}

// Call asks for an answer to a request. It waits for a connection as long as
// ctx allows.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	c, err := l.connected(ctx)
	if err != nil {
		return err
	}
	return errors.Wrap(c.Call(ctx, method, params, result), method)
}

// connected returns the connection, and waits for one if there is none.
func (l *Link) connected(ctx context.Context) (*conn, error) {
	l.mu.Lock()
	c, up, refused := l.conn, l.up, l.refused
	l.used = time.Now()
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	if refused {
		return nil, ErrNoConnection
	}
	wake(l.needed)
	select {
	case <-up:
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

func (l *Link) settle(a peer.QueryParts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range a.Parts {
		delete(l.pending, partKey{a.Query, p.ID})
	}
}

// run makes a connection whenever one is needed, with a back-off after a
// failure.
func (l *Link) run(ctx context.Context) {
	wait := backoffBase
	for ctx.Err() == nil {
		select {
		case <-l.needed:
		case <-ctx.Done():
			return
		}
		if l.connect(ctx) {
			wait = backoffBase
			continue
		}
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
		}
		wait = min(backoffCap, wait*2)
		l.mu.Lock()
		l.refused = false
		l.mu.Unlock()
	}
}

// connect dials and serves one connection until it ends. It reports whether
// there was one that did not end at once.
func (l *Link) connect(ctx context.Context) bool {
	raw, err := l.network.Dial(ctx, "tcp", l.address)
	if err != nil {
		l.down(true)
		l.lose()
		return false
	}
	began := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newConn(ctx, raw, l.traffic, noCalls, l.tell)
	l.mu.Lock()
	l.conn = c
	close(l.up)
	l.mu.Unlock()
	var duties sync.WaitGroup
	duties.Go(func() { l.send(ctx, c) })
	duties.Go(func() { l.check(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	lasted := time.Since(began) > backoffCap
	l.down(!lasted)
	_ = c.Close()
	cancel()
	duties.Wait()
	l.lose()
	return lasted
}

// down notes that there is no connection. While refused is set nothing is
// taken.
func (l *Link) down(refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		// Those who wait for this connection are told that there is none.
		close(l.up)
	}
	l.conn = nil
	l.refused = refused
	l.up = make(chan struct{})
}

// noCalls refuses calls: the side that accepts a connection does not call.
func noCalls(_ context.Context, method string, _ json.RawMessage) (any, error) {
	return nil, errors.Errorf("link: unexpected method %q", method)
}

// tell takes answers to parts.
func (l *Link) tell(k kind, text []byte) error {
	if k != kindTell {
		return ErrUnexpectedKind
	}
	var t peer.PartReplies
	if _, err := t.UnmarshalMsg(text); err != nil {
		return errors.Wrap(err, "link: tell")
	}
	l.mu.Lock()
	l.heard = time.Now()
	for _, p := range t.Parts {
		delete(l.pending, partKey{p.Query, p.ID})
	}
	l.mu.Unlock()
	l.receiver.HandleReplies(t)
	return nil
}

// send is the duty that drains what is to go out.
func (l *Link) send(ctx context.Context, c *conn) {
	var batch []outgoing
	for {
		select {
		case <-l.out.Ready():
		case <-ctx.Done():
			return
		}
		batch = l.out.Drain(batch[:0])
		if len(batch) == 0 {
			continue
		}
		m := l.pack(batch)
		if err := c.stream.writeData(kindAsk, &m); err != nil {
			_ = c.Close()
			return
		}
	}
}

// pack makes one message of what waits and notes that it may reach the owner.
func (l *Link) pack(batch []outgoing) peer.PartRequests {
	m := peer.PartRequests{Queries: []peer.QueryParts{}}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Now()
	for _, o := range batch {
		if o.cancel != nil {
			m.Cancels = append(m.Cancels, *o.cancel)
			continue
		}
		m.Queries = append(m.Queries, *o.ask)
		for _, p := range o.ask.Parts {
			key := partKey{o.ask.Query, p.ID}
			if _, ok := l.pending[key]; ok {
				l.pending[key] = pendingPart{p, true}
			}
		}
	}
	return m
}

// lose hands everything under way to the receiver.
func (l *Link) lose() {
	for _, o := range l.out.Drain(nil) {
		if o.ask != nil {
			l.settle(*o.ask)
			l.receiver.HandleLost(*o.ask, false)
		}
	}
	l.mu.Lock()
	pending := l.pending
	l.pending = map[partKey]pendingPart{}
	l.mu.Unlock()
	for key, p := range pending {
		l.receiver.HandleLost(peer.QueryParts{Query: key.query, Parts: []peer.Part{p.part}}, p.sent)
	}
}

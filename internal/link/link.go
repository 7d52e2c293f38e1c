package link

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fescuerill/internal/schema/peer"
	"fescuerill/ring"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Times of a link.
const (
	dialTimeout = time.Second
	backoffBase = 20 * time.Millisecond
	backoffCap  = time.Second
	// silentAfter is how long a connection with asks under way may be without
	// an answer before it is tested, and how long the test may take.
	silentAfter = 150 * time.Millisecond
	checkEvery  = 50 * time.Millisecond
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

// Link asks the owner at one address. New makes one and starts its
// goroutines.
type Link struct {
	address  string
	receiver Receiver
	traffic  *Traffic
	out      ring.Ring[outgoing]
	conn     atomic.Pointer[jsonrpc2.Conn]
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	pending map[partKey]pendingPart
	heard   time.Time
	asked   time.Time
}

type outgoing struct {
	ask    *peer.Ask
	cancel *peer.Cancel
}

type partKey struct {
	query, id int
}

type pendingPart struct {
	part peer.Part
	sent bool
}

// New returns a link to the peer at the IP address and port.
func New(address string, r Receiver, t *Traffic) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Link{address: address, receiver: r, traffic: t, cancel: cancel, pending: map[partKey]pendingPart{}}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// Close ends the link. What is under way is lost.
func (l *Link) Close() {
	l.cancel()
	l.done.Wait()
}

// Up reports whether there is a connection.
func (l *Link) Up() bool { return l.conn.Load() != nil }

// Ask sends parts. Parts that cannot be sent are handed to the receiver as
// lost.
func (l *Link) Ask(a peer.Ask) {
	if !l.Up() {
		l.receiver.Lost(a, false)
		return
	}
	l.mu.Lock()
	for _, p := range a.Parts {
		l.pending[partKey{a.Query, p.ID}] = pendingPart{part: p}
	}
	l.mu.Unlock()
	if !l.out.Push(outgoing{ask: &a}) {
		l.settle(a)
		l.receiver.Lost(a, false)
	}
}

// Cancel says that parts are no longer wanted.
func (l *Link) Cancel(c peer.Cancel) {
	l.mu.Lock()
	for _, id := range c.Ids {
		delete(l.pending, partKey{c.Query, id})
	}
	l.mu.Unlock()
	if l.Up() {
		l.out.Push(outgoing{cancel: &c})
	}
}

// Call asks for an answer to a request.
func (l *Link) Call(ctx context.Context, method string, params, result any) error {
	c := l.conn.Load()
	if c == nil {
		return ErrDown
	}
	return errors.Wrap(c.Call(ctx, method, params, result), method)
}

// Notify sends a message without an answer.
func (l *Link) Notify(ctx context.Context, method string, params any) error {
	c := l.conn.Load()
	if c == nil {
		return ErrDown
	}
	return errors.Wrap(c.Notify(ctx, method, params), method)
}

func (l *Link) settle(a peer.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range a.Parts {
		delete(l.pending, partKey{a.Query, p.ID})
	}
}

// run keeps a connection up, with a back-off between tries.
func (l *Link) run(ctx context.Context) {
	wait := backoffBase
	for ctx.Err() == nil {
		began := time.Now()
		l.connect(ctx)
		if time.Since(began) > backoffCap {
			wait = backoffBase
		}
		select {
		case <-time.After(wait/2 + rand.N(wait)):
		case <-ctx.Done():
		}
		wait = min(backoffCap, wait*2)
	}
}

// connect dials and serves one connection until it ends.
func (l *Link) connect(ctx context.Context) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := newConn(ctx, raw, l.traffic, l.handle)
	l.conn.Store(c)
	var duties sync.WaitGroup
	duties.Go(func() { l.send(ctx, c) })
	duties.Go(func() { l.check(ctx, c) })
	select {
	case <-c.DisconnectNotify():
	case <-ctx.Done():
	}
	l.conn.Store(nil)
	_ = c.Close()
	cancel()
	duties.Wait()
	l.lose()
}

func (l *Link) handle(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method != MethodTell {
		return nil, errors.Errorf("link: unexpected method %q", method)
	}
	var t peer.Tells
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, errors.Wrap(err, "link: tell")
	}
	l.mu.Lock()
	l.heard = time.Now()
	for _, p := range t.Parts {
		delete(l.pending, partKey{p.Query, p.ID})
	}
	l.mu.Unlock()
	l.receiver.Tell(t)
	return nil, nil
}

// send is the duty that drains what is to go out.
func (l *Link) send(ctx context.Context, c *jsonrpc2.Conn) {
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
		if err := c.Notify(ctx, MethodAsk, m); err != nil {
			_ = c.Close()
			return
		}
	}
}

// pack makes one message of what waits and notes that it may reach the owner.
func (l *Link) pack(batch []outgoing) peer.Asks {
	m := peer.Asks{Queries: []peer.Ask{}}
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

// check is the duty that notices a connection on which nothing comes back.
func (l *Link) check(ctx context.Context, c *jsonrpc2.Conn) {
	for {
		select {
		case <-time.After(checkEvery):
		case <-ctx.Done():
			return
		}
		if !l.quiet(time.Now()) {
			continue
		}
		test, cancel := context.WithTimeout(ctx, silentAfter)
		var pong struct{}
		err := c.Call(test, MethodPing, struct{}{}, &pong)
		cancel()
		if err != nil && ctx.Err() == nil {
			l.receiver.Condemned()
			_ = c.Close()
			return
		}
		l.mu.Lock()
		l.heard = time.Now()
		l.mu.Unlock()
	}
}

// quiet reports whether parts are under way and nothing has come back for too
// long.
func (l *Link) quiet(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return false
	}
	return now.Sub(l.heard) > silentAfter && now.Sub(l.asked) > silentAfter/2
}

// lose hands everything under way to the receiver.
func (l *Link) lose() {
	for _, o := range l.out.Drain(nil) {
		if o.ask != nil {
			l.settle(*o.ask)
			l.receiver.Lost(*o.ask, false)
		}
	}
	l.mu.Lock()
	pending := l.pending
	l.pending = map[partKey]pendingPart{}
	l.mu.Unlock()
	for key, p := range pending {
		l.receiver.Lost(peer.Ask{Query: key.query, Parts: []peer.Part{p.part}}, p.sent)
	}
}

package network

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Memory.
var (
	errRefused = errors.New("network: connection refused")
	errInUse   = errors.New("network: address in use")
)

// Memory is a network within the process. The zero value is ready. Its methods
// may be called from several goroutines.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	port      int
}

// Endpoint returns the network as the named party sees it.
func (m *Memory) Endpoint(name string) Network { return side{m, name} }

// Partition stops everything between two parties, in both directions, until Heal.
// Connections between them are silent for good from the first byte that is
// lost.
func (m *Memory) Partition(a, b string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut == nil {
		m.cut = map[[2]string]bool{}
	}
	m.cut[[2]string{a, b}] = true
	m.cut[[2]string{b, a}] = true
}

// Heal ends all cuts.
func (m *Memory) Heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.cut)
}

func (m *Memory) isCut(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[[2]string{a, b}]
}

type side struct {
	memory *Memory
	name   string
}

// Listen implements Network.
func (s side) Listen(address string) (net.Listener, error) {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "network")
	}
	if port == "0" {
		m.port++
		address = net.JoinHostPort(host, strconv.Itoa(10_000+m.port))
	}
	if m.listeners[address] != nil {
		return nil, errInUse
	}
	if m.listeners == nil {
		m.listeners = map[string]*listener{}
	}
	l := &listener{memory: m, owner: s.name, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// Dial implements Network.
func (s side) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s.memory.mu.Lock()
	l := s.memory.listeners[address]
	s.memory.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	if s.memory.isCut(s.name, l.owner) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	near, far := net.Pipe()
	silent := &atomic.Bool{}
	select {
	case l.accepted <- &conn{far, s.memory, l.owner, s.name, silent}:
		return &conn{near, s.memory, s.name, l.owner, silent}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

type listener struct {
	memory   *Memory
	owner    string
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mu.Lock()
		defer l.memory.mu.Unlock()
		if l.memory.listeners[l.address] == l {
			delete(l.memory.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network implements net.Addr.
func (address) Network() string { return "tcp" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// conn is one end of a connection. Once a byte was lost it loses all others.
type conn struct {
	net.Conn
	memory   *Memory
	from, to string
	silent   *atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() || c.memory.isCut(c.from, c.to) {
		c.silent.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a silent connection does not
// hear of it.
func (c *conn) Close() error {
	if c.silent.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

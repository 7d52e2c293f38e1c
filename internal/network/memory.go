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

// Errors of the in-memory network.
var (
	errRefused = errors.New("network: connection refused")
	errInUse   = errors.New("network: address in use")
)

// Memory is an in-memory network. The zero value is ready to use. Its methods
// are safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	listeners   map[string]*listener
	partitioned map[[2]string]bool
	port        int
}

// Endpoint returns the network for the named party, such as a host. Partition
// takes the names of parties.
func (m *Memory) Endpoint(name string) Network { return endpoint{m, name} }

// Partition drops all traffic between two parties, in both directions, until
// Heal. A connection that has lost a byte stays blackholed after Heal.
func (m *Memory) Partition(a, b string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitioned == nil {
		m.partitioned = map[[2]string]bool{}
	}
	m.partitioned[[2]string{a, b}] = true
	m.partitioned[[2]string{b, a}] = true
}

// Heal ends all partitions.
func (m *Memory) Heal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.partitioned)
}

func (m *Memory) isPartitioned(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitioned[[2]string{a, b}]
}

type endpoint struct {
	memory *Memory
	name   string
}

// Listen implements Network.
func (e endpoint) Listen(address string) (net.Listener, error) {
	m := e.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "network: listen address")
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
	l := &listener{memory: m, party: e.name, address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address] = l
	return l, nil
}

// Dial implements Network.
func (e endpoint) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	e.memory.mu.Lock()
	l := e.memory.listeners[address]
	e.memory.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	}
	if e.memory.isPartitioned(e.name, l.party) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	client, server := net.Pipe()
	blackholed := &atomic.Bool{}
	select {
	case l.accepted <- &conn{server, e.memory, l.party, e.name, blackholed}:
		return &conn{client, e.memory, e.name, l.party, blackholed}, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errRefused}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

type listener struct {
	memory   *Memory
	party    string
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

// conn is one end of a connection. Once a byte was dropped, all later ones are
// dropped as well.
type conn struct {
	net.Conn
	memory     *Memory
	from, to   string
	blackholed *atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() || c.memory.isPartitioned(c.from, c.to) {
		c.blackholed.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The other end of a blackholed connection isn't
// notified.
func (c *conn) Close() error {
	if c.blackholed.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

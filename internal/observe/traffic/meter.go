package traffic

import (
	"net"
	"sync/atomic"
)

// Kind is a kind of message.
type Kind int

// Kinds of messages.
const (
	// Part is a request to a target and its answer.
	Part Kind = iota
	// Relay is a message with parts to relay, their results, or a cancellation.
	Relay
	// Update is a request for changes of the store to another host and the reply.
	Update
	// Probe is a datagram of the failure detector.
	Probe
	// Caller is a request of a caller and its answer.
	Caller
	// Store is a call to the store and its response.
	Store
	kinds
)

var kindNames = [kinds]string{"part", "relay", "update", "probe", "caller", "store"}

// Scope says where the other end of a connection is.
type Scope int

// Scopes.
const (
	// Local is the data centre of this host.
	Local Scope = iota
	// Remote is another data centre.
	Remote
	// Elsewhere is outside the known data centres: callers and the store.
	Elsewhere
	scopes
)

var scopeNames = [scopes]string{"local", "remote", "elsewhere"}

// ScopeOf returns Remote if the data centre of the other end differs from that of this host.
func ScopeOf(own, other string) Scope {
	if own == other {
		return Local
	}
	return Remote
}

// Call is a kind of call to the store.
type Call int

// Kinds of calls to the store.
const (
	// List reads a page of all items, and ListStale one of items that may be seconds old.
	List Call = iota
	ListStale
	// Watch waits for changes.
	Watch
	// Lease creates a lease, Renew renews one, and Write writes items.
	Lease
	Renew
	Write
	calls
)

var callNames = [calls]string{"list", "list-stale", "watch", "lease", "renew", "write"}

// Meter counts calls to the store, and bytes without the headers of TCP, UDP and IP. The zero
// value and a nil pointer are ready to use; a nil pointer counts nothing. Its methods are safe
// for concurrent use.
type Meter struct {
	sent, received [kinds][scopes]atomic.Int64
	storeCalls     [calls]atomic.Int64
}

// Sent counts n bytes that were sent.
func (m *Meter) Sent(k Kind, s Scope, n int) {
	if m != nil {
		m.sent[k][s].Add(int64(n))
	}
}

// Received counts n bytes that were received.
func (m *Meter) Received(k Kind, s Scope, n int) {
	if m != nil {
		m.received[k][s].Add(int64(n))
	}
}

// CountCall counts a call to the store.
func (m *Meter) CountCall(c Call) {
	if m != nil {
		m.storeCalls[c].Add(1)
	}
}

// Each calls f for each count that is not zero, with a name such as bytes-sent-relay-remote
// or store-calls-watch.
func (m *Meter) Each(f func(name string, count int64)) {
	if m == nil {
		return
	}
	for k := range kinds {
		for s := range scopes {
			suffix := "-" + kindNames[k] + "-" + scopeNames[s]
			if n := m.sent[k][s].Load(); n != 0 {
				f("bytes-sent"+suffix, n)
			}
			if n := m.received[k][s].Load(); n != 0 {
				f("bytes-received"+suffix, n)
			}
		}
	}
	for c := range calls {
		if n := m.storeCalls[c].Load(); n != 0 {
			f("store-calls-"+callNames[c], n)
		}
	}
}

// Conn returns a connection on top of c whose bytes are counted.
func (m *Meter) Conn(c net.Conn, k Kind, s Scope) net.Conn {
	return &meteredConn{Conn: c, meter: m, kind: k, scope: s}
}

type meteredConn struct {
	net.Conn
	meter *Meter
	kind  Kind
	scope Scope
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Received(c.kind, c.scope, n)
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Sent(c.kind, c.scope, n)
	return n, err
}

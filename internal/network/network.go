// Package network opens connections: over TCP, or within the process, where
// tests cut them and let the clock stand still.
package network

import (
	"context"
	"net"
	"time"
)

// Network opens connections.
type Network interface {
	// Listen accepts connections at an IP address and port; port 0 picks one.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection to an IP address and port.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds how long a connection takes to open.
const dialTimeout = time.Second

// TCP is the network of the machine.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	return c.Listen(context.Background(), "tcp", address)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

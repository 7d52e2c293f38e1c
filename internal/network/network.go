// Package network listens and dials, either over TCP or within the process.
// Tests use the latter to partition the network and to run with a fake clock.
package network

import (
	"context"
	"net"
	"time"
)

// Network listens for connections and opens them.
type Network interface {
	// Listen listens at an IP address and port; port 0 picks a free one.
	Listen(address string) (net.Listener, error)
	// Dial opens a connection to an IP address and port.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout limits how long opening a connection takes.
const dialTimeout = time.Second

// TCP is the network of the operating system.
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

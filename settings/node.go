package settings

import (
	"log/slog"
	"time"

	"fescuerill/internal/schema/node"
)

// Default values of a daemon's settings.
const (
	DefaultAddressValidity = 5 * time.Second
	DefaultLeaseTime       = 6 * time.Second
	DefaultMaxInFlight     = 256
	// DefaultRetryAfter is the mean time that a caller is asked to wait after a
	// refusal that does not depend on a policy.
	DefaultRetryAfter = 500 * time.Millisecond
)

// Node is the validated settings of one daemon.
type Node struct {
	raw node.Node
}

// ParseNode parses and validates the text of a daemon's settings file. The
// error is of type Findings.
func ParseNode(file string, text []byte) (*Node, error) {
	d := document{file: file}
	var n Node
	if d.decode(text, nodeSchema(), &n.raw) {
		n.check(&d)
	}
	if len(d.findings) > 0 {
		return nil, d.findings.sorted()
	}
	return &n, nil
}

func (n *Node) check(d *document) {
	checkAddress(d, []string{"caller-address"}, n.raw.CallerAddress)
	checkAddress(d, []string{"peer-address"}, n.raw.PeerAddress)
	checkAddress(d, []string{"store"}, n.raw.Store)
	if n.raw.HostList != nil {
		checkAddress(d, []string{"host-list"}, *n.raw.HostList)
	}
	if n.raw.CallerAddress == n.raw.PeerAddress {
		d.add([]string{"peer-address"}, "is the same as caller-address")
	}
}

// ID returns the name of the host.
func (n *Node) ID() string { return n.raw.ID }

// DataCentre returns the data centre of the host.
func (n *Node) DataCentre() string { return n.raw.DataCentre }

// CallerAddress returns the IP address and port on which callers are served.
func (n *Node) CallerAddress() string { return n.raw.CallerAddress }

// PeerAddress returns the IP address and port on which other daemons are served.
func (n *Node) PeerAddress() string { return n.raw.PeerAddress }

// Store returns the IP address and port of the platform's store.
func (n *Node) Store() string { return n.raw.Store }

// HostList returns the IP address and port of the host list, or an empty string
// if there is none.
func (n *Node) HostList() string { return valueOr(n.raw.HostList, "") }

// AddressValidity returns the time for which a caller can cache the host
// addresses that it received.
func (n *Node) AddressValidity() time.Duration {
	return durationOr(n.raw.AddressValidity, DefaultAddressValidity)
}

// LeaseTime returns the time after which the lease of the host expires.
func (n *Node) LeaseTime() time.Duration { return durationOr(n.raw.LeaseTime, DefaultLeaseTime) }

// MaxInFlight returns the maximum number of queries in flight; further queries
// are refused.
func (n *Node) MaxInFlight() int { return valueOr(n.raw.Admitted, DefaultMaxInFlight) }

// LogLevel returns the minimum level of the messages that are logged.
func (n *Node) LogLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(valueOr(n.raw.LogLevel, node.NodeLogLevelInfo))); err != nil {
		return slog.LevelInfo
	}
	return l
}

func valueOr[T any](p *T, fallback T) T {
	if p == nil {
		return fallback
	}
	return *p
}

func durationOr(text *string, fallback time.Duration) time.Duration {
	if d := parseDuration(text); d > 0 {
		return d
	}
	return fallback
}

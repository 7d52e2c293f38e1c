package settings

import (
	"log/slog"
	"time"

	"fescuerill/internal/schema/node"
)

// Defaults of a daemon's settings.
const (
	DefaultAddressValidity = 5 * time.Second
	DefaultLeaseTime       = 6 * time.Second
	DefaultMaxInFlight     = 256
	DefaultRetryAfter      = 500 * time.Millisecond
)

// Node is the checked settings of one daemon.
type Node struct {
	raw node.Node
}

// ParseNode checks and reads the text of a daemon's settings file. The error
// is of type Findings.
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

// DataCentre returns the data centre in which the host stands.
func (n *Node) DataCentre() string { return n.raw.DataCentre }

// CallerAddress returns the IP address and port for callers.
func (n *Node) CallerAddress() string { return n.raw.CallerAddress }

// PeerAddress returns the IP address and port for other daemons.
func (n *Node) PeerAddress() string { return n.raw.PeerAddress }

// Store returns the IP address and port of the platform's store.
func (n *Node) Store() string { return n.raw.Store }

// HostList returns the IP address and port of the host list, or "".
func (n *Node) HostList() string { return value(n.raw.HostList, "") }

// AddressValidity returns how long a caller may keep the addresses it got.
func (n *Node) AddressValidity() time.Duration {
	return durationOr(n.raw.AddressValidity, DefaultAddressValidity)
}

// LeaseTime returns the time after which the lease of the host lapses.
func (n *Node) LeaseTime() time.Duration { return durationOr(n.raw.LeaseTime, DefaultLeaseTime) }

// MaxInFlight returns the queries under way at once before new ones are refused.
func (n *Node) MaxInFlight() int { return value(n.raw.Admitted, DefaultMaxInFlight) }

// LogLevel returns the least level that is logged.
func (n *Node) LogLevel() slog.Level {
	var l slog.Level
	if err := l.UnmarshalText([]byte(value(n.raw.LogLevel, node.NodeLogLevelInfo))); err != nil {
		return slog.LevelInfo
	}
	return l
}

func value[T any](p *T, otherwise T) T {
	if p == nil {
		return otherwise
	}
	return *p
}

func durationOr(text *string, otherwise time.Duration) time.Duration {
	if d := duration(text); d > 0 {
		return d
	}
	return otherwise
}

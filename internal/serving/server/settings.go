package server

import (
	"time"

	"fescuerill/internal/serving/gateway"
)

// Settings are what a host needs to know of itself and of the platform.
type Settings struct {
	Name       string
	DataCentre string
	// FrontAddress, Ready and Directory are where callers, the platform's checks and
	// questions for addresses arrive. Directory may be empty.
	FrontAddress     string
	ReadinessAddress string
	DirectoryAddress string
	// PeerAddress is where other hosts reach this one; Seeds are peer addresses of hosts
	// that may be up.
	PeerAddress   string
	SeedAddresses []string
	// RelayAddress is where other hosts send parts for targets near this one; empty if
	// they do not.
	RelayAddress string
	// MetricsAddress is where counters are served.
	MetricsAddress string
	// Cores is the processor cores that the process may use; 0 if that is not known.
	Cores float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// GracePeriod is the time between the request to stop and the end of the process.
	GracePeriod time.Duration
	// MaxAddressTTL is the longest time that callers keep the addresses.
	MaxAddressTTL time.Duration
	Bounds        gateway.Bounds
}

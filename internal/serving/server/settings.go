package server

import (
	"time"

	"fescuerill/internal/serving/gateway"
)

// Settings holds the settings of a host. Those that are not Reloadable keep the values with which
// the host starts.
type Settings struct {
	// Name is the name of the host in logs.
	Name       string
	DataCentre string
	// FrontAddress, ReadinessAddress and DirectoryAddress are the addresses that serve
	// requests of callers, readiness checks of the platform, and queries for the
	// addresses of hosts. DirectoryAddress may be empty.
	FrontAddress     string
	ReadinessAddress string
	DirectoryAddress string
	// PeerAddress is the address at which other hosts reach this one, and SeedAddresses
	// are peer addresses that are probed at the start; not all need to be in use.
	PeerAddress   string
	SeedAddresses []string
	// RelayAddress is the address at which other hosts send parts for targets in the
	// data centre of this one. If it is empty, the host does not relay.
	RelayAddress string
	// MetricsAddress is the address that serves counters and gauges; it may be empty.
	MetricsAddress string
	// Cores is the number of processor cores available to the process; 0 if unknown.
	Cores float64
	Reloadable
}

// restartRequired returns the names of the settings that differ from those of next and take
// effect only when the host starts.
func (s *Settings) restartRequired(next *Settings) []string {
	var names []string
	for _, field := range []struct {
		name    string
		changed bool
	}{
		{"name", s.Name != next.Name},
		{"data-centre", s.DataCentre != next.DataCentre},
		{"front-address", s.FrontAddress != next.FrontAddress},
		{"readiness-address", s.ReadinessAddress != next.ReadinessAddress},
		{"directory-address", s.DirectoryAddress != next.DirectoryAddress},
		{"peer-address", s.PeerAddress != next.PeerAddress},
		{"relay-address", s.RelayAddress != next.RelayAddress},
		{"metrics-address", s.MetricsAddress != next.MetricsAddress},
		{"cores", s.Cores != next.Cores},
	} {
		if field.changed {
			names = append(names, field.name)
		}
	}
	return names
}

// Reloadable holds the settings that take effect when they are reloaded.
type Reloadable struct {
	// MemoryBytes is the memory available to the process; 0 sets no limit.
	MemoryBytes int64
	// GracePeriod is the time from the request to stop to the end of the process.
	GracePeriod time.Duration
	// MaxAddressTTL limits how long callers may cache the addresses of hosts; 0 sets no
	// limit.
	MaxAddressTTL time.Duration
	// Bounds are the platform's limits on retries and on requests to cold targets.
	Bounds gateway.Bounds
}

package station

import (
	"time"

	"fescuerill/internal/serving/gateway"
)

// Settings are what a host needs to know of itself and of the platform.
type Settings struct {
	Name       string
	DataCentre string
	// Front, Ready and Directory are where callers, the platform's checks and
	// questions for addresses arrive. Directory may be empty.
	Front     string
	Ready     string
	Directory string
	// Peer is where other hosts reach this one; Seeds are peer addresses of hosts
	// that may be up.
	Peer  string
	Seeds []string
	// Relay is where other hosts send parts for targets near this one; empty if
	// they do not.
	Relay string
	// Metrics is where counters are served.
	Metrics string
	// Cores is the processor cores that the process may use; 0 if that is not known.
	Cores float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// AnswerValid is the longest time that callers keep the addresses.
	AnswerValid time.Duration
	Bounds      gateway.Bounds
}

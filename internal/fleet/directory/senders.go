package directory

import (
	"slices"
	"time"
)

// senderMemory is how long a number of senders stays in force after it was last seen. It
// is longer than the span in which the additional requests of all hosts are bounded.
const senderMemory = 15 * time.Second

// Senders is the number of hosts among which this host divides an allowance for all of
// them: the largest number that it has seen within senderMemory, so that the sum stays
// within the allowance while hosts become active or go on standby one after another. The
// zero value has seen no host. It is not safe for concurrent use.
type Senders struct {
	most   int
	seenAt time.Time
}

// Observe records the number of active hosts and returns the number by which to divide.
func (s *Senders) Observe(now time.Time, active int) int {
	if active >= s.most || now.Sub(s.seenAt) > senderMemory {
		s.most, s.seenAt = active, now
	}
	return max(1, s.most)
}

// CountPossiblyActive returns the number of active hosts as observed by a host, or the number
// that there would be if the silent ones were alive, if that is more. Silent hosts may only be
// cut off from this one, and be active and send to the same targets. share returns the share of
// the cores that is active among some hosts.
func CountPossiblyActive(alive, silent []Host, share func([]Host) Share) int {
	possible := slices.Concat(alive, silent)
	return max(len(AppendActive(nil, alive, share(alive))), len(AppendActive(nil, possible, share(possible))))
}

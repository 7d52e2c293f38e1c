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

// CountSenders returns the number of hosts among which the one at an address divides an
// allowance: the active ones, or those that there would be if the silent hosts were alive, if
// these are more. Silent hosts may only be cut off from this one, and be active and send to the
// same targets. A host on standby divides it among all others, so that those that become active
// one after another do not come each with the share of an active one. share returns the share of
// the cores that is active among some hosts.
func CountSenders(address string, alive, silent []Host, share func([]Host) Share) int {
	isSelf := func(h Host) bool { return h.Address == address }
	active := AppendActive(nil, alive, share(alive))
	possible := slices.Concat(alive, silent)
	if !slices.ContainsFunc(active, isSelf) {
		return max(1, len(slices.DeleteFunc(possible, isSelf)))
	}
	return max(len(active), len(AppendActive(nil, possible, share(possible))))
}

package peers

import "time"

const (
	// suspicionTimeout is how long the hosts of a data centre that is doubted have to answer.
	suspicionTimeout = 500 * time.Millisecond
	// suspicionInterval is the least time between two rounds of probes to a data centre that
	// is doubted, and doubtProbes the number of hosts that are probed in each.
	suspicionInterval  = time.Second
	probesPerSuspicion = 4
	// minOutageHosts is the number of hosts from which a data centre can be lost as a
	// whole: about fewer, single hosts are asked for help.
	minOutageHosts = 3
	// maxRecoveryRounds is how often the hosts of a data centre that is back are probed, until
	// they are heard.
	maxRecoveryRounds = 4
)

// OutageDetector decides whether all hosts of a data centre are to be taken for lost, long
// before each of them has been found dead by its own probes: one that is doubted is
// lost when several of its hosts are probed and none is heard. A host of it is back
// when it is heard itself. The zero value is ready. It is not safe for use by several
// goroutines.
type OutageDetector struct {
	centres     map[string]*dataCentreState
	lastMessage map[string]time.Time
}

// dataCentreState is what is thought of a data centre.
type dataCentreState struct {
	lastMessage time.Time
	suspectedAt time.Time
	// down says that none of its hosts has been heard since it was doubted, and since
	// is when it was doubted the last time that it was lost.
	down      bool
	downSince time.Time
}

func (o *OutageDetector) state(dataCentre string) *dataCentreState {
	if o.centres == nil {
		o.centres = map[string]*dataCentreState{}
		o.lastMessage = map[string]time.Time{}
	}
	c := o.centres[dataCentre]
	if c == nil {
		c = &dataCentreState{}
		o.centres[dataCentre] = c
	}
	return c
}

// MessageReceived takes a message from a host of a data centre and reports whether the data
// centre was lost until now, so that its other hosts should be probed.
func (o *OutageDetector) MessageReceived(now time.Time, dataCentre, host string) bool {
	c := o.state(dataCentre)
	back := c.down
	c.lastMessage, c.suspectedAt, c.down = now, time.Time{}, false
	o.lastMessage[host] = now
	return back
}

// Suspect takes that a host of a data centre does not answer, and reports whether
// others of it are to be probed now.
func (o *OutageDetector) Suspect(now time.Time, dataCentre string) bool {
	c := o.state(dataCentre)
	if c.down || now.Sub(c.lastMessage) < suspicionTimeout || !c.suspectedAt.IsZero() && now.Sub(c.suspectedAt) < suspicionInterval {
		return false
	}
	c.suspectedAt = now
	return true
}

// Confirm takes a data centre for lost if nothing was heard of it since it was doubted,
// long enough ago, and reports whether that is new.
func (o *OutageDetector) Confirm(now time.Time, dataCentre string) bool {
	c := o.state(dataCentre)
	if c.down || c.suspectedAt.IsZero() || now.Sub(c.suspectedAt) < suspicionTimeout {
		return false
	}
	c.down, c.downSince = true, c.suspectedAt
	return true
}

// HostDown reports whether a host is taken for lost with its data centre.
func (o *OutageDetector) HostDown(dataCentre, host string) bool {
	c := o.centres[dataCentre]
	return c != nil && !c.downSince.IsZero() && o.lastMessage[host].Before(c.downSince)
}

// Down reports whether a data centre is taken for lost.
func (o *OutageDetector) Down(dataCentre string) bool {
	c := o.centres[dataCentre]
	return c != nil && c.down
}

// RemoveHost drops what is known of a host.
func (o *OutageDetector) RemoveHost(host string) { delete(o.lastMessage, host) }

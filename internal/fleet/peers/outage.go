package peers

import "time"

const (
	// suspicionTimeout is how long the hosts of a suspected data centre have to answer.
	suspicionTimeout = 500 * time.Millisecond
	// suspicionInterval is the minimum time between two rounds of probes to a suspected
	// data centre, and probesPerSuspicion the number of hosts that are probed in each.
	suspicionInterval  = time.Second
	probesPerSuspicion = 4
	// minOutageHosts is the minimum number of live hosts of a data centre for which an
	// outage of the whole data centre is detected. Fewer hosts are only probed one by
	// one, with indirect probes through other hosts.
	minOutageHosts = 3
	// maxRecoveryRounds is the maximum number of rounds in which the silent hosts of a
	// data centre that is reachable again are probed, and probesPerRecoveryRound the number
	// of hosts in each. The others are heard in their turn.
	maxRecoveryRounds      = 4
	probesPerRecoveryRound = 8
)

// OutageDetector decides whether a data centre is down, that is, unreachable from this
// host, long before the regular probes have found each of its hosts dead. A suspected data
// centre is down when several of its hosts have been probed and no message has come from
// any host of it. Afterwards, each host is up again only when a message comes from that
// host itself. The zero value is ready to use. It is not safe for concurrent use.
type OutageDetector struct {
	dataCentres map[string]*dataCentreState
	lastMessage map[string]time.Time
}

// dataCentreState is the observed state of a data centre.
type dataCentreState struct {
	lastMessage time.Time
	suspectedAt time.Time
	// down is set if no message from any of its hosts has come since it was suspected.
	// downSince is the time of the suspicion that led to the last outage. It is kept when
	// the data centre is up again, for hosts that have not sent a message since.
	down      bool
	downSince time.Time
}

// state returns the state of a data centre, which it creates if there is none.
func (o *OutageDetector) state(dataCentre string) *dataCentreState {
	if o.dataCentres == nil {
		o.dataCentres = map[string]*dataCentreState{}
		o.lastMessage = map[string]time.Time{}
	}
	c := o.dataCentres[dataCentre]
	if c == nil {
		c = &dataCentreState{}
		o.dataCentres[dataCentre] = c
	}
	return c
}

// MessageReceived records a message from a host of a data centre and reports whether the
// data centre was down until now, so that its other hosts should be probed.
func (o *OutageDetector) MessageReceived(now time.Time, dataCentre, host string) bool {
	c := o.state(dataCentre)
	recovered := c.down
	c.lastMessage, c.suspectedAt, c.down = now, time.Time{}, false
	o.lastMessage[host] = now
	return recovered
}

// Suspect records that a host of a data centre did not answer a probe, and reports whether
// other hosts of the data centre should be probed now.
func (o *OutageDetector) Suspect(now time.Time, dataCentre string) bool {
	c := o.state(dataCentre)
	if c.down || now.Sub(c.lastMessage) < suspicionTimeout || !c.suspectedAt.IsZero() && now.Sub(c.suspectedAt) < suspicionInterval {
		return false
	}
	c.suspectedAt = now
	return true
}

// Confirm marks a data centre as down if it was suspected at least suspicionTimeout ago
// and no message has come from it since. It reports whether the state changed.
func (o *OutageDetector) Confirm(now time.Time, dataCentre string) bool {
	c := o.state(dataCentre)
	if c.down || c.suspectedAt.IsZero() || now.Sub(c.suspectedAt) < suspicionTimeout {
		return false
	}
	c.down, c.downSince = true, c.suspectedAt
	return true
}

// HostDown reports whether a host is considered down with its data centre: it has sent no
// message since the last outage of the data centre began.
func (o *OutageDetector) HostDown(dataCentre, host string) bool {
	c := o.dataCentres[dataCentre]
	return c != nil && !c.downSince.IsZero() && o.lastMessage[host].Before(c.downSince)
}

// Down reports whether a data centre is considered down.
func (o *OutageDetector) Down(dataCentre string) bool {
	c := o.dataCentres[dataCentre]
	return c != nil && c.down
}

// Reachable reports whether a data centre is neither down nor suspected.
func (o *OutageDetector) Reachable(now time.Time, dataCentre string) bool {
	c := o.dataCentres[dataCentre]
	return c == nil || !c.down && (c.suspectedAt.IsZero() || now.Sub(c.suspectedAt) >= suspicionInterval)
}

// RemoveHost removes the state of a host.
func (o *OutageDetector) RemoveHost(host string) { delete(o.lastMessage, host) }

package peers

import "time"

const (
	// doubtTime is how long the hosts of a data centre that is doubted have to answer.
	doubtTime = 500 * time.Millisecond
	// doubtEach is the least time between two rounds of probes to a data centre that
	// is doubted, and doubtProbes the number of hosts that are probed in each.
	doubtEach   = time.Second
	doubtProbes = 4
	// outageLeast is the number of hosts from which a data centre can be lost as a
	// whole: about fewer, single hosts are asked for help.
	outageLeast = 3
	// backRounds is how often the hosts of a data centre that is back are probed, until
	// they are heard.
	backRounds = 4
)

// Outages decides whether all hosts of a data centre are to be taken for lost, long
// before each of them has been found dead by its own probes: one that is doubted is
// lost when several of its hosts are probed and none is heard. A host of it is back
// when it is heard itself. The zero value is ready. It is not safe for use by several
// goroutines.
type Outages struct {
	centres map[string]*outage
	heard   map[string]time.Time
}

// outage is what is thought of a data centre.
type outage struct {
	heard   time.Time
	doubted time.Time
	// lost says that none of its hosts has been heard since it was doubted, and since
	// is when it was doubted the last time that it was lost.
	lost  bool
	since time.Time
}

func (o *Outages) of(dataCentre string) *outage {
	if o.centres == nil {
		o.centres = map[string]*outage{}
		o.heard = map[string]time.Time{}
	}
	c := o.centres[dataCentre]
	if c == nil {
		c = &outage{}
		o.centres[dataCentre] = c
	}
	return c
}

// Heard takes a message from a host of a data centre and reports whether the data
// centre was lost until now, so that its other hosts should be probed.
func (o *Outages) Heard(now time.Time, dataCentre, host string) bool {
	c := o.of(dataCentre)
	back := c.lost
	c.heard, c.doubted, c.lost = now, time.Time{}, false
	o.heard[host] = now
	return back
}

// Doubt takes that a host of a data centre does not answer, and reports whether
// others of it are to be probed now.
func (o *Outages) Doubt(now time.Time, dataCentre string) bool {
	c := o.of(dataCentre)
	if c.lost || now.Sub(c.heard) < doubtTime || !c.doubted.IsZero() && now.Sub(c.doubted) < doubtEach {
		return false
	}
	c.doubted = now
	return true
}

// Judge takes a data centre for lost if nothing was heard of it since it was doubted,
// long enough ago, and reports whether that is new.
func (o *Outages) Judge(now time.Time, dataCentre string) bool {
	c := o.of(dataCentre)
	if c.lost || c.doubted.IsZero() || now.Sub(c.doubted) < doubtTime {
		return false
	}
	c.lost, c.since = true, c.doubted
	return true
}

// Lost reports whether a host is taken for lost with its data centre.
func (o *Outages) Lost(dataCentre, host string) bool {
	c := o.centres[dataCentre]
	return c != nil && !c.since.IsZero() && o.heard[host].Before(c.since)
}

// Out reports whether a data centre is taken for lost.
func (o *Outages) Out(dataCentre string) bool {
	c := o.centres[dataCentre]
	return c != nil && c.lost
}

// Forget drops what is known of a host.
func (o *Outages) Forget(host string) { delete(o.heard, host) }

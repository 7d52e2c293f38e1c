package directory

// IsolationDetector decides whether the data centre of a host is isolated, so that callers
// should be sent to other data centres. Isolation begins when the host reaches no host of
// another data centre and fails most searches, and ends when it reaches one again. The
// zero value is ready to use. It is not safe for concurrent use.
type IsolationDetector struct {
	isolated bool
}

// Update reports whether the data centre is isolated, given the number of known hosts
// in other data centres, the number of these that are reachable, and whether this host
// serves most of its searches.
func (d *IsolationDetector) Update(known, reachable int, serving bool) bool {
	switch {
	case known == 0 || reachable > 0:
		d.isolated = false
	case !serving:
		d.isolated = true
	}
	return d.isolated
}

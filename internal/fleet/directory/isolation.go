package directory

// IsolationDetector decides whether the data centre of a host is isolated, so that callers should be
// sent to other data centres. It is isolated from when the host can reach no host of
// another data centre and fails most searches, until it reaches one again. The zero
// value is ready to use. It is not safe for concurrent use.
type IsolationDetector struct {
	isolated bool
}

// Update reports whether the data centre is isolated, given the number of known hosts
// in other data centres, the number of these that are reachable, and whether this host
// serves most of its searches.
func (c *IsolationDetector) Update(known, reachable int, serving bool) bool {
	switch {
	case known == 0 || reachable > 0:
		c.isolated = false
	case !serving:
		c.isolated = true
	}
	return c.isolated
}

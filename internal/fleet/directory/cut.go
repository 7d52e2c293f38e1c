package directory

// IsolationDetector decides whether the data centre of a host is cut off, so that callers are
// better served elsewhere: the host hears no host of another data centre and cannot
// serve most searches. Then it holds until another data centre is heard. The zero
// value is ready. It is not safe for use by several goroutines.
type IsolationDetector struct {
	off bool
}

// Update takes how many hosts in other data centres are known and how many of them
// are heard, and whether this host serves its searches. It reports whether the data
// centre is cut off.
func (c *IsolationDetector) Update(known, heard int, able bool) bool {
	switch {
	case known == 0 || heard > 0:
		c.off = false
	case !able:
		c.off = true
	}
	return c.off
}

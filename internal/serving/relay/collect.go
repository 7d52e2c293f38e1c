package relay

import (
	"time"

	"fescuerill/internal/serving/search"
)

// Collector gathers parts until they are to be sent back: all that are in at the
// flush, or as soon as all are in; later ones as they come. It has no clock. Reset
// it before use.
type Collector struct {
	pending    int
	flushTime  time.Time
	flushed    bool
	maxRecords int
	collected  []Part
}

// Reset begins a collection of a number of parts.
func (c *Collector) Reset(parts int, flush time.Time, top int) {
	*c = Collector{pending: parts, flushTime: flush, maxRecords: top}
}

// Pending returns the number of parts that are not in.
func (c *Collector) Pending() int { return c.pending }

// Add takes a part and reports whether to send what Take returns.
func (c *Collector) Add(now time.Time, p Part) bool {
	c.pending--
	c.collected = append(c.collected, p)
	return c.pending == 0 || c.flushed || !now.Before(c.flushTime)
}

// Flush takes that the time of the flush has come and reports whether to send
// what Take returns.
func (c *Collector) Flush() bool {
	c.flushed = true
	return len(c.collected) > 0
}

// Take returns the parts that were not taken before, with the greatest records of
// the good ones.
func (c *Collector) Take() Told {
	t := Told{Parts: c.collected}
	c.collected = nil
	var bodies [][]byte
	for _, p := range t.Parts {
		if p.Reply.Outcome == search.Good {
			bodies = append(bodies, p.Reply.Body)
		}
	}
	t.Records = search.Merge(nil, bodies, c.maxRecords)
	return t
}

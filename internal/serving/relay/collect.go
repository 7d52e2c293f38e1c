package relay

import (
	"time"

	"fescuerill/internal/serving/search"
)

// Collector gathers parts until they are to be sent back: all that are in at the
// flush, or as soon as all are in; later ones as they come. It has no clock. Reset
// it before use.
type Collector struct {
	left    int
	flush   time.Time
	flushed bool
	top     int
	waiting []PartResult
}

// Reset begins a collection of a number of parts.
func (c *Collector) Reset(parts int, flush time.Time, top int) {
	*c = Collector{left: parts, flush: flush, top: top}
}

// Left returns the number of parts that are not in.
func (c *Collector) Left() int { return c.left }

// Add takes a part and reports whether to send what Take returns.
func (c *Collector) Add(now time.Time, p PartResult) bool {
	c.left--
	c.waiting = append(c.waiting, p)
	return c.left == 0 || c.flushed || !now.Before(c.flush)
}

// Flush takes that the time of the flush has come and reports whether to send
// what Take returns.
func (c *Collector) Flush() bool {
	c.flushed = true
	return len(c.waiting) > 0
}

// Take returns the parts that were not taken before, with the greatest records of
// the good ones.
func (c *Collector) Take() Results {
	t := Results{Parts: c.waiting}
	c.waiting = nil
	var bodies [][]byte
	for _, p := range t.Parts {
		if p.Reply.Outcome == search.Good {
			bodies = append(bodies, p.Reply.Body)
		}
	}
	t.TopRecords = search.Merge(nil, bodies, c.top)
	return t
}

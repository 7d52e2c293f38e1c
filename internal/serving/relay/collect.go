package relay

import (
	"time"

	"fescuerill/internal/serving/search"
)

// Collector batches part results for the reply. It returns the results that have arrived
// by the flush time in one batch, or earlier if it is complete, and later results one by
// one. The caller supplies the time. Call Reset before use.
type Collector struct {
	pending    int
	flushTime  time.Time
	flushed    bool
	maxRecords int
	// collected holds the results that Take has not returned yet.
	collected []PartResult
}

// Reset starts the collection of the results of a number of parts. maxRecords limits the
// merged records of each batch.
func (c *Collector) Reset(parts int, flushTime time.Time, maxRecords int) {
	*c = Collector{pending: parts, flushTime: flushTime, maxRecords: maxRecords}
}

// Pending returns the number of parts without a result.
func (c *Collector) Pending() int { return c.pending }

// Add adds the result of a part and reports whether to send the batch that Take returns.
func (c *Collector) Add(now time.Time, p PartResult) bool {
	c.pending--
	c.collected = append(c.collected, p)
	return c.pending == 0 || c.flushed || !now.Before(c.flushTime)
}

// Flush records that the flush time has come and reports whether to send the batch that
// Take returns.
func (c *Collector) Flush() bool {
	c.flushed = true
	return len(c.collected) > 0
}

// Take returns the results added since the last call, with the merged highest records
// of the successful ones.
func (c *Collector) Take() Results {
	r := Results{Parts: c.collected}
	c.collected = nil
	var bodies [][]byte
	for _, p := range r.Parts {
		if p.Reply.Outcome == search.Good {
			bodies = append(bodies, p.Reply.Body)
		}
	}
	r.TopRecords = search.Merge(nil, bodies, c.maxRecords)
	return r
}

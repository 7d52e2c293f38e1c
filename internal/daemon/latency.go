package daemon

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latencies kept, in microseconds, and how they are forgotten.
const (
	latencyLeast  = 50
	latencyMost   = 10_000_000
	latencyDigits = 2
	latencyPeriod = 2 * time.Second
	// latencySamples is the least number of samples that a quantile is taken
	// from.
	latencySamples = 100
	// hedgeLeast is the least time after which a part is hedged.
	hedgeLeast = 2 * time.Millisecond
)

// latencies keeps the part latencies of the last two periods for each target
// group. The zero value has none. Its methods may be called from several
// goroutines.
type latencies struct {
	mu     sync.Mutex
	groups map[string]*generations
}

type generations struct {
	present, past *hdrhistogram.Histogram
	began         time.Time
}

// add takes the latency of a part.
func (l *latencies) add(now time.Time, group string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[group]
	if g == nil {
		if l.groups == nil {
			l.groups = map[string]*generations{}
		}
		g = &generations{present: newHistogram(), past: newHistogram(), began: now}
		l.groups[group] = g
	}
	if now.Sub(g.began) > latencyPeriod {
		g.past, g.present = g.present, g.past
		g.present.Reset()
		g.began = now
	}
	_ = g.present.RecordValue(min(max(took.Microseconds(), latencyLeast), latencyMost))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
}

// quantile returns the quantile q, from 0 to 1, of the latencies of a group,
// or 0 when too few are known.
func (l *latencies) quantile(group string, q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[group]
	if g == nil {
		return 0
	}
	h := g.past
	if g.present.TotalCount() > h.TotalCount() {
		h = g.present
	}
	if h.TotalCount() < latencySamples {
		return 0
	}
	return max(hedgeLeast, time.Duration(h.ValueAtQuantile(100*q))*time.Microsecond)
}

package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latencies kept, in microseconds, and how they are forgotten.
const (
	minMicros         = 50
	maxMicros         = 10_000_000
	significantDigits = 2
	rotationPeriod    = 2 * time.Second
	// minSamples is the least number of samples that a quantile is taken
	// from.
	minSamples = 100
)

// Histograms keeps the latencies of the last two periods for each group of requests
// that are alike. The zero value has none. Its methods may be called from
// several goroutines.
type Histograms struct {
	mu     sync.Mutex
	groups map[string]*generations
}

type generations struct {
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// Add takes the latency of a request.
func (l *Histograms) Add(now time.Time, group string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[group]
	if g == nil {
		if l.groups == nil {
			l.groups = map[string]*generations{}
		}
		g = &generations{current: newHistogram(), previous: newHistogram(), rotatedAt: now}
		l.groups[group] = g
	}
	if now.Sub(g.rotatedAt) > rotationPeriod {
		g.previous, g.current = g.current, g.previous
		g.current.Reset()
		g.rotatedAt = now
	}
	_ = g.current.RecordValue(min(max(took.Microseconds(), minMicros), maxMicros))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Quantile returns the quantile q, from 0 to 1, of the latencies of a group,
// or 0 when too few are known.
func (l *Histograms) Quantile(group string, q float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[group]
	if g == nil {
		return 0
	}
	h := g.previous
	if g.current.TotalCount() > h.TotalCount() {
		h = g.current
	}
	if h.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

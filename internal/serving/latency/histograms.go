package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms.
const (
	minMicros         = 50
	maxMicros         = 10_000_000
	significantDigits = 2
	rotationPeriod    = 2 * time.Second
	// minSamples is the minimum number of samples for a quantile.
	minSamples = 100
)

// Histograms records the latencies of the last two rotation periods for each group of
// similar requests. The zero value is empty and ready to use. Its methods are safe for
// concurrent use.
type Histograms struct {
	mu     sync.Mutex
	groups map[string]*generations
}

// generations holds the histograms of one group. They are swapped after each rotation
// period.
type generations struct {
	current, previous *hdrhistogram.Histogram
	rotatedAt         time.Time
}

// Add records the latency of a request.
func (h *Histograms) Add(now time.Time, group string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		if h.groups == nil {
			h.groups = map[string]*generations{}
		}
		g = &generations{current: newHistogram(), previous: newHistogram(), rotatedAt: now}
		h.groups[group] = g
	}
	if now.Sub(g.rotatedAt) > rotationPeriod {
		g.previous, g.current = g.current, g.previous
		g.current.Reset()
		g.rotatedAt = now
	}
	_ = g.current.RecordValue(min(max(latency.Microseconds(), minMicros), maxMicros))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, significantDigits)
}

// Quantile returns the quantile q, from 0 to 1, of the recent latencies of a group, or
// 0 if there are fewer than minSamples. It uses the current or the previous period,
// whichever has more samples.
func (h *Histograms) Quantile(group string, q float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.groups[group]
	if g == nil {
		return 0
	}
	larger := g.previous
	if g.current.TotalCount() > larger.TotalCount() {
		larger = g.current
	}
	if larger.TotalCount() < minSamples {
		return 0
	}
	return time.Duration(larger.ValueAtQuantile(100*q)) * time.Microsecond
}

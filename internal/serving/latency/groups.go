package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latencies kept, in microseconds, and how they are forgotten.
const (
	least  = 50
	most   = 10_000_000
	digits = 2
	period = 2 * time.Second
	// samples is the least number of samples that a quantile is taken
	// from.
	samples = 100
)

// Histograms keeps the latencies of the last two periods for each group of requests
// that are alike. The zero value has none. Its methods may be called from
// several goroutines.
type Histograms struct {
	mu     sync.Mutex
	groups map[string]*generations
}

type generations struct {
	present, past *hdrhistogram.Histogram
	began         time.Time
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
		g = &generations{present: newHistogram(), past: newHistogram(), began: now}
		l.groups[group] = g
	}
	if now.Sub(g.began) > period {
		g.past, g.present = g.present, g.past
		g.present.Reset()
		g.began = now
	}
	_ = g.present.RecordValue(min(max(took.Microseconds(), least), most))
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(least, most, digits)
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
	h := g.past
	if g.present.TotalCount() > h.TotalCount() {
		h = g.present
	}
	if h.TotalCount() < samples {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(100*q)) * time.Microsecond
}

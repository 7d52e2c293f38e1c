// Package stats names the counters and histograms of a daemon.
package stats

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoir is the number of samples that a histogram keeps.
	reservoir = 4096
	// groupReservoir is that number for one of many groups of a histogram.
	groupReservoir = 256
)

// Registry is a set of counters, gauges and histograms. The zero value is empty.
// Its methods may be called from several goroutines.
type Registry struct {
	once sync.Once
	set  metrics.Registry
}

func (t *Registry) registry() metrics.Registry {
	t.once.Do(func() { t.set = metrics.NewRegistry() })
	return t.set
}

// Add adds n to the counter with the name.
func (t *Registry) Add(name string, n int) {
	if n != 0 {
		metrics.GetOrRegisterCounter(name, t.registry()).Inc(int64(n))
	}
}

// SetGauge sets the gauge with the name.
func (t *Registry) SetGauge(name string, v int) {
	metrics.GetOrRegisterGauge(name, t.registry()).Update(int64(v))
}

// Observe adds a value to the histogram with the name.
func (t *Registry) Observe(name string, v int64) { t.sample(name, v, reservoir) }

// ObserveGroup adds a value to the histogram of a group. It keeps fewer samples, so
// that there may be many groups.
func (t *Registry) ObserveGroup(name, group string, v int64) {
	t.sample(name+"-"+group, v, groupReservoir)
}

func (t *Registry) sample(name string, v int64, size int) {
	t.registry().GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(size))
	}).(metrics.Histogram).Update(v)
}

// Count returns the value of the counter with the name.
func (t *Registry) Count(name string) int64 {
	c, ok := t.registry().Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// Each calls f for each counter and gauge, and for the quantiles of each
// histogram.
func (t *Registry) Each(f func(name string, value int64)) {
	t.registry().Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			f(name, v.Count())
		case metrics.Gauge:
			f(name, v.Value())
		case metrics.Histogram:
			q := v.Snapshot().Percentiles([]float64{0.5, 0.99, 0.999})
			f(name+"-p50", int64(q[0]))
			f(name+"-p99", int64(q[1]))
			f(name+"-p999", int64(q[2]))
		}
	})
}

// Package stats provides registries of named counters, gauges and histograms.
package stats

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize is the number of samples that a histogram keeps.
	reservoirSize = 4096
	// groupReservoirSize is the number of samples for each group of a histogram.
	groupReservoirSize = 256
)

// Registry is a set of counters, gauges and histograms. The zero value is empty.
// Its methods are safe for concurrent use.
type Registry struct {
	once    sync.Once
	metrics metrics.Registry
}

func (r *Registry) registry() metrics.Registry {
	r.once.Do(func() { r.metrics = metrics.NewRegistry() })
	return r.metrics
}

// Add adds n to a counter.
func (r *Registry) Add(name string, n int) {
	if n != 0 {
		metrics.GetOrRegisterCounter(name, r.registry()).Inc(int64(n))
	}
}

// SetGauge sets the value of a gauge.
func (r *Registry) SetGauge(name string, v int) {
	metrics.GetOrRegisterGauge(name, r.registry()).Update(int64(v))
}

// Observe adds a value to a histogram.
func (r *Registry) Observe(name string, v int64) { r.observe(name, v, reservoirSize) }

// ObserveGroup adds a value to the histogram of a group, which is named name-group. It keeps
// fewer samples than the others, so that many groups do not use much memory.
func (r *Registry) ObserveGroup(name, group string, v int64) {
	r.observe(name+"-"+group, v, groupReservoirSize)
}

func (r *Registry) observe(name string, v int64, size int) {
	r.registry().GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(size))
	}).(metrics.Histogram).Update(v)
}

// Count returns the value of a counter, or 0 if there is none with the name.
func (r *Registry) Count(name string) int64 {
	c, ok := r.registry().Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// Each calls f for each counter and gauge, and for the 0.5, 0.99 and 0.999 quantiles of
// each histogram, which have the suffixes -p50, -p99 and -p999.
func (r *Registry) Each(f func(name string, value int64)) {
	r.registry().Each(func(name string, m any) {
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

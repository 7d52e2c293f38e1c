// Package latency holds histograms of recent latencies and returns their quantiles.
package latency

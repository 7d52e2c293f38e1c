// Package latency keeps recent latencies and tells their quantiles.
package latency

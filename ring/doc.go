// Package ring implements a bounded queue between goroutines.
//
// A ring never blocks the goroutine that adds a value: when the ring is full, the value
// is rejected, so that the loss can be counted where it occurs.
package ring

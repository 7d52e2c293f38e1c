// Package ring holds a bounded queue that joins two goroutines.
//
// A ring never blocks the goroutine that puts a value in: when it is full the
// value is refused, so that the loss is seen where it can be counted.
package ring

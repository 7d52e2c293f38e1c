// Package lease lets the holder of a lease determine whether the lease is certainly
// still valid.
//
// The service that grants the lease counts its duration from the arrival of a renewal.
// The holder counts from before the renewal was sent and subtracts a margin for clocks
// that run at different rates, so that the lease always expires at the holder before it
// expires at the service. Times are compared by the monotonic clock of the process,
// which continues while the process is paused.
package lease

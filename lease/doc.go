// Package lease tells the holder of a lease whether it can prove that it still
// holds it.
//
// The service that grants the lease counts its time from when a renewal
// arrives. The holder counts from before the renewal was sent, and gives up a
// margin for clocks that run at different rates, so that the holder always
// stops believing before the service does. Times are compared by the
// monotonic clock of the process, which goes on while the process is paused.
package lease

// Package daemon implements the program that runs on every host. It supplies
// the packages that make the decisions with goroutines, connections and the
// clock.
//
// A daemon has two roles. As a coordinator it admits the requests of callers,
// selects the snapshot, sends the parts of each query to the owners of the
// targets and merges their replies. As an owner it holds all connections to the
// targets that it owns, limits the slots in use and queues the parts sent to
// them. Each task has one goroutine; ring buffers connect them.
package daemon

// Package trial runs a deployment in one process, over loopback or an in-memory
// network: the stand-ins for the store and the targets, several daemons, and a
// load generator in place of callers. The demo, the benchmarks and the
// end-to-end tests use it.
package trial

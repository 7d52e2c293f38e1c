// Package daemon wires the decisions of the other packages into the one
// program that every host runs.
//
// A daemon has two roles. As an entry it admits the requests of callers, picks
// the snapshot, asks the owners of the targets and merges their answers. As an
// owner it holds all connections of the targets it owns, counts their slots
// and queues what is asked of them. One goroutine drives each duty; rings join
// them.
package daemon

// Package gateway serves requests of callers: it finds the route, asks targets
// as package search decides, and makes the answer. It holds what the host knows
// of the manifest and the targets, and drives the decisions with goroutines and
// the clock.
package gateway

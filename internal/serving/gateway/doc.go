// Package gateway serves the requests of callers: it finds the route, sends the request
// to targets as package search decides, and builds the answer. It holds the manifest and
// the catalog of targets, and drives the state machines of the other packages with
// goroutines and the clock.
package gateway

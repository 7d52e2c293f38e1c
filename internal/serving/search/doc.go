// Package search is the state machine of one request that is scattered to targets: it
// decides which part to send, hedge or retry and when, when enough parts are answered,
// and when the request has failed. It has no clock, sockets or goroutines: its methods
// take the current time and return the attempts to send.
//
// A request to a single target is a search with one part.
package search

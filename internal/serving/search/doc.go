// Package search decides how one request is asked of targets: which shard to
// ask again and when, when an answer is good enough, and when there will be
// none. It has no clock, sockets or goroutines: its methods take the present
// time and return what to send.
//
// A request for one target is a search with a single part.
package search

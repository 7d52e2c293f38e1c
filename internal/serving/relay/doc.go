// Package relay lets a host send requests to targets in another data centre through
// a host there: the parts of a search for that data centre are sent in one message,
// and their results come back merged. That takes a fraction of the bytes between data
// centres, and the connections to a target need not be divided among all hosts.
//
// The host that serves the caller makes all decisions; the relay host only sends the
// parts that it receives. If it is unreachable, or the connection breaks, the parts
// end without an answer and are sent to the targets directly.
package relay

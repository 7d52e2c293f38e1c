// Package relay lets a host ask targets in another data centre through a host
// there: the parts of a search for that data centre go in one message, and come
// back merged. That takes a fraction of the bytes between data centres, and the
// connections of a target need not be shared among all hosts.
//
// The host that serves the caller still decides everything; the other one only
// sends what it is told to send. If it cannot be reached, or the connection
// breaks, the parts end without an answer and are asked directly.
package relay

// Package link carries messages between daemons as JSON-RPC 2.0 over one
// long-lived TCP connection for each direction of asking.
//
// The side that dials asks and the side that accepts answers. Asks that wait
// together go out in one message, and so do answers; nothing waits for others
// to come. A connection on which nothing comes back is condemned and replaced.
package link

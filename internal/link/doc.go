// Package link carries messages between daemons over one long-lived TCP
// connection for each direction of asking. Calls are JSON-RPC 2.0; the messages
// that carry parts of queries are MessagePack, which takes a small part of the
// time and room.
//
// The side that dials asks and the side that accepts answers. Asks that wait
// together go out in one message, and so do answers; nothing waits for others
// to come. A connection on which nothing comes back is condemned and replaced.
package link

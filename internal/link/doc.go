// Package link exchanges messages between daemons. The daemon that sends
// requests opens one long-lived TCP connection to each peer, so two daemons
// that send requests to each other have two connections. Calls are JSON-RPC
// 2.0. Messages that carry parts of queries are MessagePack, which takes a
// fraction of the time and space.
//
// The dialling side sends requests and the accepting side sends replies.
// Requests that are queued at the same time are sent in one message, and so are
// replies; no request is delayed to fill a batch. A connection on which no
// reply arrives is closed and replaced.
package link

// Package frame encodes messages between hosts on a connection: each message is
// preceded by its length and its kind. A message is a JSON-RPC object, for calls, or a
// MessagePack message, for the parts of searches and their results.
package frame

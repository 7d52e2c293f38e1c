// Package caller is the client library for callers.
//
// A Client requests the addresses of the hosts to use from any host, caches them
// for as long as they are valid and connects to these hosts directly. A search
// that was refused without having been executed is retried on another host after
// the delay given in the refusal. A non-idempotent request is not retried by the
// Client; all attempts at it must use the same ticket.
package caller

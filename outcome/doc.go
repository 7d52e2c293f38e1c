// Package outcome remembers what became of non-idempotent requests, so that a
// retry of one is answered rather than run again.
//
// A request has an idempotency key, which is pinned to one incarnation of one
// host. That incarnation alone can tell whether the request ran; any other
// answers that the outcome is unknown.
package outcome

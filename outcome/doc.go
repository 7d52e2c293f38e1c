// Package outcome records the outcomes of non-idempotent requests, so that a retry
// receives the recorded result and is not executed again.
//
// A request has an idempotency key, which is pinned to one incarnation of one host.
// Only that incarnation can tell whether the request was executed; any other replies
// that the outcome is unknown.
package outcome

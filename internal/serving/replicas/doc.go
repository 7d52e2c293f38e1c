// Package replicas tracks the observed state of the targets that hold replicas of
// the same data, and chooses the one to send a request to.
//
// Only what requests observe counts: requests in flight, latencies, failures and
// overdue answers. Health that a target reports of itself is not used, because
// it is wrong too often. Bad observations decay exponentially, so that a target
// gets requests again gradually.
package replicas

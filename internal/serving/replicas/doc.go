// Package replicas remembers how the targets that hold copies of the same data
// have answered, and chooses which of them to ask.
//
// Only what requests have seen counts: work under way, latencies, failures and
// answers that are overdue. A target's own word of its health misleads too
// often. A bad memory fades, so that a target is tried again gently.
package replicas

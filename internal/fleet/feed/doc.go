// Package feed follows the platform's store: it reads everything once, then
// waits for changes, at a steady pace so that many small changes come in one
// call. While the store does not answer, and on hosts that need not read it
// themselves, it asks other hosts.
package feed

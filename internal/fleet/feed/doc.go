// Package feed follows the platform's store: it lists all items once and then watches
// for changes, at a fixed interval so that many small changes come in one call. While
// the store does not answer, and on hosts on whose behalf another host reads it, it
// requests updates from other hosts.
package feed

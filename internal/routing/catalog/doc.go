// Package catalog holds the targets that a host knows of: their addresses and data
// centres, whether they are leaving or cold, and which data centres the operators
// have evacuated.
//
// The data comes from the platform's store, directly or through another host, and
// may be stale. A target whose record disappears from the store during an outage of
// the store is kept until it has had time to register again.
package catalog

// Package catalog keeps what a host knows of the targets: which there are, where
// they stand, whether they are leaving or cold, and which data centres the
// operators have taken out.
//
// What is known comes from the platform's store, directly or through another
// host, and may be old. A target that vanishes from the store while the store
// has trouble is kept until it has had time to register again.
package catalog

// Package snapshot knows which target holds which shard of which snapshot.
//
// A snapshot is one version of the index of the whole deployment; it has a
// sequence number, and newer snapshots have higher numbers. Under each
// snapshot a service is divided into a number of shards, which may differ
// from one snapshot to the next. Targets say what they hold; nothing else is
// believed.
package snapshot

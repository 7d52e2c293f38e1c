// Package snapshot keeps track of which target holds which shards of which snapshot.
//
// A snapshot is one version of the index of the whole deployment. It has a sequence
// number, and newer snapshots have higher numbers. Under each snapshot a service is
// divided into a number of shards, which may differ between snapshots. Targets report
// what they hold; no other source is used.
package snapshot

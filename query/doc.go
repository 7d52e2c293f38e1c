// Package query follows one search from its first part to its answer.
//
// A Query asks each shard of one snapshot of one of its holders, retries parts
// that were not run, hedges parts that are late, merges the hits and says
// which shards the answer covers. It is a plain value: the caller tells it
// what happened and at what time, sends the asks that it returns, and calls
// Tick when Next says so. It is not safe for use by several goroutines.
package query

// Package query executes one search, from its first part to its answer.
//
// A Query sends a part for each shard of one snapshot to one of the holders of the
// shard, retries parts that were not run, hedges parts that are past the hedge delay,
// merges the hits and reports which shards the answer covers. It is a plain value: the
// caller passes it each event with its time, sends the requests that it returns, and
// calls Tick at the time that NextTick returns. It is not safe for concurrent use.
package query

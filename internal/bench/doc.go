// Package bench runs the benchmarks whose results are the tables of
// docs/MEASUREMENTS.md and docs/CAPACITY.md. Each subcommand of
// "fescuerill bench" writes one table, which states what was run.
package bench

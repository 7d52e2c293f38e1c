// Package bench makes the tables of docs/MEASUREMENTS.md and docs/CAPACITY.md.
// Each table comes from one subcommand of "fescuerill bench" and states what
// was run.
package bench

// Package settings parses and validates the settings of a deployment and of a
// daemon, and reads and writes those of a deployment in the store.
//
// The settings of a deployment form a tree: deployment, target group,
// service, target. Each level inherits the policy of the level above and can
// override single values; data centres are not levels but listed separately. Paths
// join the names of levels with slashes, as in "ledger/ledger-01/a".
//
// All errors of a file are found in one pass and reported together as
// Findings, each with its line, column and key.
package settings

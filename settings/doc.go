// Package settings reads and checks the settings of a deployment and of a
// daemon.
//
// The settings of a deployment form a tree: deployment, target group,
// service, target. Each level inherits the policy of the level above and can
// override single values; data centres are listed outside the tree. Paths join
// the names of levels with slashes, as in "ledger/ledger-01/a".
//
// All errors of a file are found in one pass and reported together as
// Findings, each with its line, column and key.
package settings

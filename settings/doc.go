// Package settings reads and checks the settings of a deployment and of a
// daemon.
//
// The settings of a deployment form a tree: deployment, target group,
// service, target. Each level inherits the policy of the level above and
// overrides what it names itself; data centres stand beside the tree. Paths
// join the names of levels with slashes, as in "ledger/ledger-01/a".
//
// Everything that is wrong with a file is found in one pass and reported
// together as Findings, each with its line, column and key.
package settings

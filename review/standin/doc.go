//go:build review

// Command standin runs a small deployment of fescuerill on loopback addresses for the
// cases of the review: stand-ins for the platform's store, the backends and the
// consumers, and the hosts as processes of their own. Each case is a script that makes
// one disruption and checks one rule.
//
// It is built with the tag review only (review/build.sh), so that it is no part of the
// module's ordinary build, lint and test runs.
package main

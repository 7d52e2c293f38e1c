// Package host detects which hosts are alive.
//
// Every host probes another one in each interval, in random order, and merges the updates
// that arrive with the replies. A host that does not reply is probed through other hosts,
// then suspected, and declared dead if it does not refute the suspicion in time. The
// load on a host does not depend on the number of hosts. The method is SWIM: A. Das, I.
// Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002.
//
// The states in a Membership are observations that may be wrong: they steer callers and
// requests away from hosts. They never decide which host owns a target.
package host

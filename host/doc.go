// Package host follows which hosts are alive.
//
// Every host probes a few random others each period and takes the news that
// comes with the answers. A host that does not answer is probed through others,
// then suspected, and taken for dead when it does not refute the suspicion in
// time. The cost for a host does not depend on how many there are. The method
// is SWIM: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002.
//
// What a Membership says is an opinion: it steers callers and questions away
// from hosts. Who owns a target is never decided by it.
package host

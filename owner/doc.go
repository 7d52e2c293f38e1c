// Package owner divides the targets among hosts and says how much of a target
// a host may use.
//
// The hosts among which the targets are divided are recorded in the platform's
// store under an epoch number. Every host computes the same division from that
// record. A host that becomes the owner of a target uses it only once the owner
// of the epoch before has released it, or once every lease that could have
// been renewed before the epoch began has surely lapsed. A host that cannot
// prove its lease uses at most half of the slots of a warm target and nothing
// of any other; whoever took the target over without a release leaves it
// that half.
//
// The ranking of hosts for a target is rendezvous hashing: D. Thaler and C.
// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM
// Transactions on Networking 6(1), 1998.
package owner

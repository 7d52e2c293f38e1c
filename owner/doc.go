// Package owner assigns targets to hosts and determines how much of the capacity of a
// target a host is allowed to use.
//
// The hosts to which targets are assigned are recorded in the store of the platform
// under an epoch number. Every host computes the same assignment from that record. A
// host that becomes the owner of a target uses it only after the owner under the
// previous epoch has released it, or after every lease that could have been renewed
// before the epoch began has certainly expired. A host whose lease is not certainly
// valid uses at most half of the slots of a warm target and none of any other target; a
// host that took over a target without a release leaves that half to the former owner.
//
// Hosts are ranked for a target by rendezvous hashing: D. Thaler and C. Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
// Networking 6(1), 1998.
package owner

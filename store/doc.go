// Package store is a client of the platform's key-value service.
//
// The service stores small values under keys. Each value has a revision, the
// number of the write that created it. The service offers compare-and-swap on
// the revision, leases whose keys are deleted when the lease expires, and watches,
// which are implemented as long polling. The answer to a write can be lost after
// the write has taken effect. Such a call returns ErrOutcomeUnknown, and the caller
// has to read the key back to find out whether the write took effect.
package store

// Package store speaks to the platform's key-value service.
//
// The service keeps small values under keys, each with the number of the write
// that made it. It offers compare-and-swap on that number, leases with which
// keys go, and watches, which are reads that wait. An answer may be lost after
// its write has taken effect; such a call returns ErrUnknown, and only reading
// back tells what happened.
package store

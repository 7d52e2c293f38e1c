package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the service.
var (
	// ErrNotFound is returned for a key or a lease that does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict is returned by a write whose condition does not hold.
	ErrConflict = errors.New("store: revision has changed")
	// ErrOutcomeUnknown is returned when it is not known whether a call took effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrUnavailable is returned when a call surely had no effect.
	ErrUnavailable = errors.New("store: unavailable")
)

// AnyRevision is the condition of a write without one.
const AnyRevision = -1

// Entry is a value in the store.
type Entry struct {
	Key, Value string
	// Revision is the number of the write that made the value.
	Revision int
}

// Service is the platform's key-value service.
type Service interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until the entry of a key has a revision above after and
	// returns it. It returns ErrNotFound when the wait has passed without.
	Watch(ctx context.Context, key string, after int, wait time.Duration) (Entry, error)
	// Put writes a value if the key has the revision, 0 for a key that does
	// not exist, or AnyRevision. The key goes with the lease unless that is
	// empty. It returns the new entry, or the present one with ErrConflict.
	Put(ctx context.Context, key, value string, ifRevision int, lease string) (Entry, error)
	// Delete deletes a key. It is no error that there is none.
	Delete(ctx context.Context, key string) error
	// Grant makes a lease.
	Grant(ctx context.Context, d time.Duration) (id string, err error)
	// Renew makes a lease last for its whole time again, or returns
	// ErrNotFound.
	Renew(ctx context.Context, id string) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id string) error
}

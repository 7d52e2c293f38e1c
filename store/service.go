package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of the service.
var (
	// ErrNotFound is returned if the key or lease does not exist.
	ErrNotFound = errors.New("store: not found")
	// ErrConflict is returned if the key does not have the revision that the
	// write requires.
	ErrConflict = errors.New("store: revision does not match")
	// ErrOutcomeUnknown is returned if it is unknown whether the call took effect.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrUnavailable is returned if the service could not be reached or did not
	// serve the call. The call had no effect.
	ErrUnavailable = errors.New("store: unavailable")
)

// AnyRevision makes a write unconditional.
const AnyRevision = -1

// Entry is a key-value pair in the store.
type Entry struct {
	Key, Value string
	// Revision is the number of the write that created the value.
	Revision int
}

// Service is the platform's key-value service.
type Service interface {
	// Get returns the entry of a key, or ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits until the entry of a key has a revision greater than after
	// and returns it. It returns ErrNotFound if this does not happen within
	// the duration wait.
	Watch(ctx context.Context, key string, after int, wait time.Duration) (Entry, error)
	// Put writes a value if the key has the revision ifRevision: 0 if the key
	// must not exist, AnyRevision for an unconditional write. The key is
	// attached to the lease, unless lease is empty. Put returns the new entry,
	// ErrConflict and the current entry, or ErrNotFound if the lease does not
	// exist.
	Put(ctx context.Context, key, value string, ifRevision int, lease string) (Entry, error)
	// Delete deletes a key. Deleting a key that does not exist is not an error.
	Delete(ctx context.Context, key string) error
	// Grant creates a lease that expires after the duration d unless renewed.
	Grant(ctx context.Context, d time.Duration) (id string, err error)
	// Renew restarts the full duration of a lease. It returns ErrNotFound if
	// the lease has expired.
	Renew(ctx context.Context, id string) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id string) error
}

package settings

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/store"
)

// Keys of the settings in the store.
const (
	ManifestKey  = "settings/manifest"
	partPrefix   = "settings/parts/"
	recordPrefix = "settings/history/"
)

// maxAttempts is the maximum number of attempts to write a part or a record, and
// to read back the manifest after a write with an unknown outcome.
const maxAttempts = 5

// Errors of Apply.
var (
	// ErrConflict is returned if another change was accepted first.
	ErrConflict = errors.New("settings: another change was accepted first")
	// ErrOutcomeUnknown is returned if it could not be determined whether the change
	// was accepted.
	ErrOutcomeUnknown = errors.New("settings: unknown whether the change was accepted")
)

// Change identifies a change to the settings.
type Change struct {
	// ID is unique to the change. It is used to find out whether the change was
	// accepted if the answer to the write was lost.
	ID string
	// Author is the name of the operator.
	Author string
	// Base is the settings revision on which the change is based.
	Base int
}

// Apply puts a tree into force if the revision in force is still the base of the
// change. It returns the accepted manifest, or ErrConflict and the manifest in
// force.
func Apply(ctx context.Context, s store.Service, t *Tree, c Change) (platform.Manifest, error) {
	current, entry, err := CurrentManifest(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return current, err
	}
	if current.Revision != c.Base {
		return current, ErrConflict
	}
	parts, err := t.Parts()
	if err != nil {
		return current, err
	}
	next := platform.Manifest{Revision: c.Base + 1, ChangeID: c.ID, Author: &c.Author, Time: new(time.Now().UTC().Format(time.RFC3339))}
	for _, p := range parts {
		next.Parts = append(next.Parts, platform.PartRef{Path: p.path, Hash: p.hash})
	}
	if err := writeParts(ctx, s, parts, current); err != nil {
		return current, err
	}
	if err := recordManifest(ctx, s, current, entry.Value); err != nil {
		return current, err
	}
	m, err := swapManifest(ctx, s, next, entry.Revision)
	if err != nil {
		return m, err
	}
	// Recording the manifest, here or in a concurrent change by another operator,
	// can have deleted one of the parts as unused before the manifest was written.
	return m, writeParts(ctx, s, parts, current)
}

// recordManifest writes the manifest in force to the history, before the next one
// comes into force. It overwrites the oldest record and deletes the parts of that
// record to which neither the manifest in force nor another record refers. If the
// history cannot be read, no parts are deleted.
func recordManifest(ctx context.Context, s store.Service, current platform.Manifest, text string) error {
	if text == "" {
		return nil
	}
	replaced := readRecord(ctx, s, current.Revision-HistorySize)
	err := retry(ctx, func() error {
		_, err := s.Put(ctx, recordKey(current.Revision), text, store.AnyRevision, "")
		return err
	})
	if err != nil {
		return errors.Wrap(err, "settings: write history record")
	}
	if len(replaced.Parts) == 0 {
		return nil
	}
	kept, err := History(ctx, s)
	if err != nil {
		return nil //nolint:nilerr // The parts are deleted with a later record, or stay.
	}
	used := map[string]bool{}
	for _, m := range kept {
		for _, p := range m.Parts {
			used[p.Hash] = true
		}
	}
	for _, p := range replaced.Parts {
		if !used[p.Hash] {
			_ = s.Delete(ctx, partPrefix+p.Hash)
		}
	}
	return nil
}

// readRecord returns the history record of a revision, or a manifest with
// revision 0 if there is none.
func readRecord(ctx context.Context, s store.Service, revision int) platform.Manifest {
	var m platform.Manifest
	if revision <= 0 {
		return m
	}
	e, err := s.Get(ctx, recordKey(revision))
	if err != nil || json.Unmarshal([]byte(e.Value), &m) != nil || m.Revision != revision {
		return platform.Manifest{}
	}
	return m
}

// CurrentManifest returns the manifest in force and its entry in the store.
func CurrentManifest(ctx context.Context, s store.Service) (platform.Manifest, store.Entry, error) {
	var m platform.Manifest
	e, err := s.Get(ctx, ManifestKey)
	if err != nil {
		return m, e, err
	}
	return m, e, errors.Wrap(json.Unmarshal([]byte(e.Value), &m), "settings: decode manifest")
}

// writeParts writes the parts to which the current manifest does not refer. Parts
// are content-addressed, so that a repeated write has no effect.
func writeParts(ctx context.Context, s store.Service, parts []Part, current platform.Manifest) error {
	for _, p := range parts {
		inForce := slices.ContainsFunc(current.Parts, func(n platform.PartRef) bool { return n.Hash == p.hash })
		if inForce {
			continue
		}
		err := retry(ctx, func() error {
			_, err := s.Put(ctx, partPrefix+p.hash, p.content, store.AnyRevision, "")
			return err
		})
		if err != nil {
			return errors.Wrap(err, "settings: write part "+p.path)
		}
	}
	return nil
}

func retry(ctx context.Context, f func() error) error {
	var err error
	for range maxAttempts {
		if err = f(); err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// swapManifest replaces the manifest in force if it still has the given store
// revision. After a conflict or an unknown outcome it reads the manifest in force
// back to determine whether the write took effect.
func swapManifest(ctx context.Context, s store.Service, m platform.Manifest, ifRevision int) (platform.Manifest, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return m, errors.Wrap(err, "settings: encode manifest")
	}
	_, err = s.Put(ctx, ManifestKey, string(text), ifRevision, "")
	switch {
	case err == nil:
		return m, nil
	case errors.Is(err, store.ErrUnavailable):
		return m, err
	}
	return resolveOutcome(ctx, s, m)
}

// resolveOutcome reads back the manifest in force to determine whether m was
// accepted.
func resolveOutcome(ctx context.Context, s store.Service, m platform.Manifest) (platform.Manifest, error) {
	for range maxAttempts {
		inForce, _, err := CurrentManifest(ctx, s)
		switch {
		case err == nil && inForce.ChangeID == m.ChangeID:
			return m, nil
		case err == nil && inForce.Revision >= m.Revision:
			return resolveFromHistory(ctx, s, m, inForce)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return m, ErrOutcomeUnknown
}

// resolveFromHistory determines from the history whether m was accepted and then
// replaced by a later change.
func resolveFromHistory(ctx context.Context, s store.Service, m, inForce platform.Manifest) (platform.Manifest, error) {
	if inForce.Revision == m.Revision {
		return inForce, ErrConflict
	}
	e, err := s.Get(ctx, recordKey(m.Revision))
	var accepted platform.Manifest
	if err != nil || json.Unmarshal([]byte(e.Value), &accepted) != nil || accepted.Revision != m.Revision {
		return inForce, ErrOutcomeUnknown
	}
	if accepted.ChangeID == m.ChangeID {
		return accepted, nil
	}
	return inForce, ErrConflict
}

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

// readBackTries bounds how often a write whose answer was lost is read back.
const readBackTries = 5

// Errors of Apply.
var (
	// ErrConflict is returned when another change was accepted first.
	ErrConflict = errors.New("settings: another change was accepted first")
	// ErrOutcomeUnknown is returned when it is not known whether a change was
	// accepted.
	ErrOutcomeUnknown = errors.New("settings: it is not known whether the change was accepted")
)

// Change says who changes the settings.
type Change struct {
	// ID names the change, so that it is recognised when the answer to its
	// write is lost. No two changes have the same.
	ID string
	// Author is the operator.
	Author string
	// Base is the revision that the change was made from.
	Base int
}

// Apply makes a tree the settings in force if the revision in force is still
// the base of the change. It returns the manifest that was accepted, or the one
// in force with ErrConflict.
func Apply(ctx context.Context, s store.Service, t *Tree, c Change) (platform.Manifest, error) {
	present, entry, err := CurrentManifest(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return present, err
	}
	if present.Revision != c.Base {
		return present, ErrConflict
	}
	parts, err := t.Parts()
	if err != nil {
		return present, err
	}
	next := platform.Manifest{Revision: c.Base + 1, ChangeID: c.ID, Author: &c.Author, Time: new(time.Now().UTC().Format(time.RFC3339))}
	for _, p := range parts {
		next.Parts = append(next.Parts, platform.PartRef{Path: p.path, Hash: p.hash})
	}
	if err := writeParts(ctx, s, parts, present); err != nil {
		return present, err
	}
	if err := record(ctx, s, present, entry.Value); err != nil {
		return present, err
	}
	m, err := swap(ctx, s, next, entry.Revision)
	if err != nil {
		return m, err
	}
	// Another operator may have tidied up a part between the two writes.
	return m, writeParts(ctx, s, parts, present)
}

// record writes the record of the manifest in force, which stands before the
// next one does, and deletes the parts that only the record in its place named.
func record(ctx context.Context, s store.Service, present platform.Manifest, text string) error {
	if text == "" {
		return nil
	}
	old := recorded(ctx, s, present.Revision-HistorySize)
	after := recorded(ctx, s, present.Revision-HistorySize+1)
	err := retry(ctx, func() error {
		_, err := s.Put(ctx, recordKey(present.Revision), text, store.AnyRevision, "")
		return err
	})
	if err != nil {
		return errors.Wrap(err, "settings: record")
	}
	named := map[string]bool{}
	for _, p := range append(present.Parts, after.Parts...) {
		named[p.Hash] = true
	}
	for _, p := range old.Parts {
		if !named[p.Hash] && after.Revision != 0 {
			_ = s.Delete(ctx, partPrefix+p.Hash)
		}
	}
	return nil
}

// recorded returns the record of a revision, or a manifest of revision 0.
func recorded(ctx context.Context, s store.Service, revision int) platform.Manifest {
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

// CurrentManifest returns the manifest in force and its entry.
func CurrentManifest(ctx context.Context, s store.Service) (platform.Manifest, store.Entry, error) {
	var m platform.Manifest
	e, err := s.Get(ctx, ManifestKey)
	if err != nil {
		return m, e, err
	}
	return m, e, errors.Wrap(json.Unmarshal([]byte(e.Value), &m), "settings: manifest")
}

// writeParts writes the parts that the present manifest does not name. A part
// is named by its content, so that writing it twice does no harm.
func writeParts(ctx context.Context, s store.Service, parts []Part, present platform.Manifest) error {
	for _, p := range parts {
		known := slices.ContainsFunc(present.Parts, func(n platform.PartRef) bool { return n.Hash == p.hash })
		if known {
			continue
		}
		err := retry(ctx, func() error {
			_, err := s.Put(ctx, partPrefix+p.hash, p.content, store.AnyRevision, "")
			return err
		})
		if err != nil {
			return errors.Wrap(err, "settings: part "+p.path)
		}
	}
	return nil
}

func retry(ctx context.Context, f func() error) error {
	var err error
	for range readBackTries {
		if err = f(); err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	return err
}

// swap puts the manifest in place and settles a lost answer by reading back.
func swap(ctx context.Context, s store.Service, m platform.Manifest, at int) (platform.Manifest, error) {
	text, err := json.Marshal(m)
	if err != nil {
		return m, errors.Wrap(err, "settings: manifest")
	}
	_, err = s.Put(ctx, ManifestKey, string(text), at, "")
	switch {
	case err == nil:
		return m, nil
	case errors.Is(err, store.ErrUnavailable):
		return m, err
	}
	return settle(ctx, s, m)
}

// settle reads back what became of a swap.
func settle(ctx context.Context, s store.Service, m platform.Manifest) (platform.Manifest, error) {
	for range readBackTries {
		now, _, err := CurrentManifest(ctx, s)
		switch {
		case err == nil && now.ChangeID == m.ChangeID:
			return m, nil
		case err == nil && now.Revision >= m.Revision:
			return settleByRecord(ctx, s, m, now)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return m, ErrOutcomeUnknown
}

// settleByRecord looks whether the change was accepted and then followed by
// others.
func settleByRecord(ctx context.Context, s store.Service, m, now platform.Manifest) (platform.Manifest, error) {
	if now.Revision == m.Revision {
		return now, ErrConflict
	}
	e, err := s.Get(ctx, recordKey(m.Revision))
	var old platform.Manifest
	if err != nil || json.Unmarshal([]byte(e.Value), &old) != nil || old.Revision != m.Revision {
		return now, ErrOutcomeUnknown
	}
	if old.ChangeID == m.ChangeID {
		return old, nil
	}
	return now, ErrConflict
}

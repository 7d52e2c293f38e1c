package settings

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
)

// ErrDeltaMismatch is returned for a change that does not lead to the manifest it names.
var ErrDeltaMismatch = errors.New("settings: manifest does not match its sum")

// ManifestHash returns the name of the content of a manifest.
func ManifestHash(m platform.Manifest) string {
	text, err := json.Marshal(m)
	if err != nil {
		return ""
	}
	return ContentHash(string(text))
}

// DiffManifests returns the manifest m as a change of old.
func DiffManifests(old, m platform.Manifest) platform.ManifestDelta {
	d := platform.ManifestDelta{
		Base: old.Revision, Revision: m.Revision, ChangeID: m.ChangeID, Author: m.Author, Time: m.Time,
		Sum: ManifestHash(m), Changed: []platform.PartRef{}, Removed: []string{},
	}
	before := byPath(old)
	for _, p := range m.Parts {
		if before[p.Path] != p.Hash {
			d.Changed = append(d.Changed, p)
		}
		delete(before, p.Path)
	}
	for path := range before {
		d.Removed = append(d.Removed, path)
	}
	slices.Sort(d.Removed)
	return d
}

// ApplyDelta returns the manifest that a change makes of old.
func ApplyDelta(old platform.Manifest, d platform.ManifestDelta) (platform.Manifest, error) {
	if old.Revision != d.Base {
		return platform.Manifest{}, ErrDeltaMismatch
	}
	parts := byPath(old)
	for _, p := range d.Changed {
		parts[p.Path] = p.Hash
	}
	for _, path := range d.Removed {
		delete(parts, path)
	}
	m := platform.Manifest{Revision: d.Revision, ChangeID: d.ChangeID, Author: d.Author, Time: d.Time}
	for path, hash := range parts {
		m.Parts = append(m.Parts, platform.PartRef{Path: path, Hash: hash})
	}
	slices.SortFunc(m.Parts, func(a, b platform.PartRef) int { return strings.Compare(a.Path, b.Path) })
	if ManifestHash(m) != d.Sum {
		return platform.Manifest{}, ErrDeltaMismatch
	}
	return m, nil
}

func byPath(m platform.Manifest) map[string]string {
	out := make(map[string]string, len(m.Parts))
	for _, p := range m.Parts {
		out[p.Path] = p.Hash
	}
	return out
}

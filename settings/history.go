package settings

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/store"
)

// HistorySize is the number of past manifests that are kept in the store.
const HistorySize = 32

// recordKey returns the key of the history record of a revision. Keys are reused
// in turn, so that the store never holds more than HistorySize records.
func recordKey(revision int) string { return fmt.Sprintf("%s%02d", recordPrefix, revision%HistorySize) }

// History returns the manifest in force and those in the history, newest first.
// The manifest in force is recorded in the history before the next one is written,
// so that it can already be there; it is returned once.
func History(ctx context.Context, s store.Service) ([]platform.Manifest, error) {
	entries, err := s.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	var out []platform.Manifest
	for _, e := range entries {
		var m platform.Manifest
		if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
			return nil, errors.Wrap(err, "settings: decode "+e.Key)
		}
		out = append(out, m)
	}
	current, _, err := CurrentManifest(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return nil, err
	}
	if err == nil {
		out = append(out, current)
	}
	sortNewestFirst(out)
	return slices.CompactFunc(out, func(a, b platform.Manifest) bool { return a.Revision == b.Revision }), nil
}

// FetchTree returns the tree of a manifest. Parts whose contents are in cache, by
// hash, are not read from the store; contents that are read are added to cache.
func FetchTree(ctx context.Context, s store.Service, m platform.Manifest, cache map[string]string) (*Tree, error) {
	parts := make(map[string]string, len(m.Parts))
	for _, p := range m.Parts {
		content, ok := cache[p.Hash]
		if !ok {
			e, err := s.Get(ctx, partPrefix+p.Hash)
			if err != nil {
				return nil, errors.Wrap(err, "settings: read part "+p.Path)
			}
			if ContentHash(e.Value) != p.Hash {
				return nil, errors.Errorf("settings: part %s does not match its hash", p.Path)
			}
			content = e.Value
			cache[p.Hash] = content
		}
		parts[p.Path] = content
	}
	return JoinParts(parts)
}

func sortNewestFirst(list []platform.Manifest) {
	slices.SortFunc(list, func(a, b platform.Manifest) int { return b.Revision - a.Revision })
}

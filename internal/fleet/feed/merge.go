package feed

import (
	"bytes"
	"sort"
)

// maxTombstones is the number of deletions that are kept for updates to other hosts.
const maxTombstones = 1024

// merge stores the items and returns those that have changed, in the order of their
// revisions. before is the position of the known items; those of an earlier era are replaced.
// The mutex must be held since the cursor was advanced: an update for another host must
// contain all changes up to the position that it states.
func (f *Feed) merge(items []Item, before Position, full bool) []Item {
	sort.SliceStable(items, func(i, j int) bool { return items[i].Revision < items[j].Revision })
	if full && before.Era() < f.cursor.Position().Era() {
		return f.replace(items)
	}
	var changed []Item
	if full {
		changed = f.deleteMissing(items)
		// Items that were created and deleted before the list have no tombstone.
		f.oldestRevision = max(f.oldestRevision, f.cursor.Position().Revision())
	}
	for _, i := range items {
		if known := f.items[i.Key].Revision; i.Revision <= known {
			if i.Revision < known {
				f.stats.Add("store-items-outdated", 1)
			}
			continue
		}
		changed = append(changed, i)
		if i.Deleted {
			delete(f.items, i.Key)
			f.addTombstone(i)
			continue
		}
		i.fingerprintRevision = i.Revision
		if old, ok := f.items[i.Key]; ok && i.Fingerprint != "" && i.Fingerprint == old.Fingerprint {
			i.fingerprintRevision = old.fingerprintRevision
		}
		f.items[i.Key] = i
	}
	return changed
}

// replace replaces all known items by those of a new era, whatever their revisions, and returns
// those whose values differ and tombstones of those that are missing. The mutex must be held.
func (f *Feed) replace(all []Item) []Item {
	known := f.items
	f.items, f.tombstones = make(map[string]Item, len(all)), nil
	f.oldestRevision = f.cursor.Position().Revision()
	var changed []Item
	for _, i := range all {
		i.fingerprintRevision = i.Revision
		old, ok := known[i.Key]
		i.Unconfirmed = true
		if !ok {
			// The next heartbeat confirms the item, so it is news for other hosts.
			i.Fingerprint = ""
		}
		f.items[i.Key] = i
		if !ok || !bytes.Equal(old.Value, i.Value) {
			changed = append(changed, i)
		}
	}
	var missing []Item
	for key := range known {
		if _, ok := f.items[key]; !ok {
			missing = append(missing, Item{Key: key, Revision: f.oldestRevision, Deleted: true, Lost: true})
		}
	}
	return append(missing, changed...)
}

// deleteMissing deletes the known items that are missing from a list of all items and
// returns their tombstones.
func (f *Feed) deleteMissing(all []Item) []Item {
	present := map[string]bool{}
	for _, i := range all {
		present[i.Key] = true
	}
	var deleted []Item
	for key, i := range f.items {
		if !present[key] {
			tombstone := Item{Key: key, Revision: max(i.Revision, f.cursor.Position().Revision()), Deleted: true}
			deleted = append(deleted, tombstone)
			delete(f.items, key)
			f.addTombstone(tombstone)
		}
	}
	return deleted
}

func (f *Feed) addTombstone(i Item) {
	f.tombstones = append(f.tombstones, i)
	if n := len(f.tombstones) - maxTombstones; n > 0 {
		f.oldestRevision = f.tombstones[n-1].Revision
		f.tombstones = f.tombstones[n:]
	}
}

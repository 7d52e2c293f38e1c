package feed

import "time"

// Request is a request of a host to another one for an update.
type Request struct {
	// After is the position up to which the requesting host knows all changes.
	After Position
	// AnyEra is set if After has no era, as in requests of hosts that know of none. Its
	// revision then counts in the era of the host that replies.
	AnyEra bool
	// Full requests all items.
	Full bool
}

// Update holds the changes of the store after a position, or all its items, as another
// host knows them.
type Update struct {
	Items []Item
	// Position is the position up to which the host that replies knows all changes.
	Position Position
	// Full is set if Items are all items of the store.
	Full bool
	// Age is the time since the store last answered that host.
	Age time.Duration
	// LastOutage is the time of the last store outage for the host that read the items
	// from the store, or zero.
	LastOutage time.Time
}

// UpdateSince returns an update for another host with the changes after a position, or
// with all items if they are requested or the changes are not all known. A host that is ahead
// of this one gets no items. It reports false if no list of the items has been read.
func (f *Feed) UpdateSince(now time.Time, r Request) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursor.Listed() {
		return Update{}, false
	}
	position, after := f.cursor.Position(), r.After
	if r.AnyEra {
		after = At(position.Era(), after.Revision())
	}
	update := Update{
		Position: position, Full: r.Full || after.Before(At(position.Era(), f.oldestRevision)),
		Age: now.Sub(f.cursor.LastReply()), LastOutage: f.cursor.ReaderOutage(),
	}
	if !update.Full && position.Before(after) {
		f.stats.Add("updates-for-hosts-ahead", 1)
		return update, true
	}
	for _, i := range f.items {
		if update.Full || i.fingerprintRevision > after.Revision() {
			update.Items = append(update.Items, i)
		}
	}
	for _, i := range f.tombstones {
		if _, exists := f.items[i.Key]; !update.Full && i.Revision > after.Revision() && !exists {
			update.Items = append(update.Items, i)
		}
	}
	return update, true
}

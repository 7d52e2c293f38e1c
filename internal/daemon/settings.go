package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
	"fescuerill/store"

	"github.com/pkg/errors"
)

// viewsKept is the number of settings kept that differ in their targets.
const viewsKept = 3

// settingsKeeper keeps the settings in force up to date.
type settingsKeeper struct {
	daemon *Daemon

	// adopting is held while settings are put in force, so that they are in
	// order; mu guards the fields.
	adopting sync.Mutex
	mu       sync.Mutex
	revision int
	stored   int
	contents map[string]string
	manifest platform.Manifest
	recent   []*settings.View
}

func newSettingsKeeper(d *Daemon) *settingsKeeper {
	return &settingsKeeper{daemon: d, contents: map[string]string{}}
}

// views returns the latest settings that differ in their targets, newest first.
func (k *settingsKeeper) views() []*settings.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*settings.View(nil), k.recent...)
}

// watch is the duty that learns of new settings from the store.
func (k *settingsKeeper) watch(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		after := k.stored
		k.mu.Unlock()
		e, err := k.daemon.store.Watch(ctx, settings.ManifestKey, after, watchWait)
		if err == nil {
			err = k.take(ctx, e)
		}
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			k.daemon.tally.Add("settings-watch-failed", 1)
			pause(ctx, rand.N(2*storeRetry))
		}
	}
}

func (k *settingsKeeper) take(ctx context.Context, e store.Entry) error {
	var m platform.Manifest
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: manifest")
	}
	if err := k.adopt(ctx, m); err != nil {
		return err
	}
	k.mu.Lock()
	k.stored = max(k.stored, e.Revision)
	k.mu.Unlock()
	return nil
}

// adopt puts the settings of a manifest in force if they are newer.
func (k *settingsKeeper) adopt(ctx context.Context, m platform.Manifest) error {
	k.adopting.Lock()
	defer k.adopting.Unlock()
	if m.Revision <= k.revision {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	t, err := settings.Fetch(ctx, k.daemon.store, m, k.contents)
	if err != nil {
		return err
	}
	v := t.View(m.Revision)
	invariant.Check(v.Revision() > k.revision, "settings-never-revert", "from", k.revision, "to", v.Revision())
	k.mu.Lock()
	k.revision, k.manifest = m.Revision, m
	k.forget()
	k.remember(v)
	k.mu.Unlock()
	k.daemon.install(v)
	return nil
}

// remember keeps the settings. Only the newest of those with the same targets
// is kept.
func (k *settingsKeeper) remember(v *settings.View) {
	kept := []*settings.View{v}
	for _, old := range k.recent {
		if old.Fingerprint() != v.Fingerprint() && len(kept) < viewsKept {
			kept = append(kept, old)
		}
	}
	k.recent = kept
}

// forget drops contents that the manifest in force does not name.
func (k *settingsKeeper) forget() {
	named := make(map[string]string, len(k.manifest.Parts))
	for _, p := range k.manifest.Parts {
		named[p.Hash] = k.contents[p.Hash]
	}
	k.contents = named
}

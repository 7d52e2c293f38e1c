package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/invariant"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
	"fescuerill/store"
)

// Limits on the settings kept in memory and the time-out for reading them.
const (
	// maxViews is the number of views kept that differ in their targets.
	maxViews = 3
	// maxManifests is the number of manifests kept to compute deltas from.
	maxManifests = 8
	// fetchTimeout limits the time for reading the parts of new settings.
	fetchTimeout = 10 * time.Second
)

// settingsSync keeps the settings in force up to date with the store and other
// hosts.
type settingsSync struct {
	daemon *Daemon

	// installMu is held while settings are installed, so that they are
	// installed in order; mu guards the fields below.
	installMu     sync.Mutex
	mu            sync.Mutex
	storeRevision int
	contentByHash map[string]string
	manifests     []platform.Manifest
	recentViews   []*settings.View
}

func newSettingsSync(d *Daemon) *settingsSync {
	return &settingsSync{daemon: d, contentByHash: map[string]string{}}
}

// views returns the latest views that differ in their targets, newest first.
func (k *settingsSync) views() []*settings.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*settings.View(nil), k.recentViews...)
}

// revision returns the revision in force, 0 before the first.
func (k *settingsSync) revision() int {
	return k.manifest().Revision
}

func (k *settingsSync) manifest() platform.Manifest {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.manifests) == 0 {
		return platform.Manifest{}
	}
	return k.manifests[0]
}

// watch waits until the store has newer settings and installs them.
func (k *settingsSync) watch(ctx context.Context) error {
	k.mu.Lock()
	after := k.storeRevision
	k.mu.Unlock()
	e, err := k.daemon.store.Watch(ctx, settings.ManifestKey, after, watchTimeout)
	switch {
	case err == nil:
		return k.handleEntry(ctx, e)
	case errors.Is(err, store.ErrNotFound):
		return nil
	default:
		return err
	}
}

func (k *settingsSync) handleEntry(ctx context.Context, e store.Entry) error {
	var m platform.Manifest
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: manifest")
	}
	if err := k.install(ctx, m); err != nil {
		return err
	}
	k.mu.Lock()
	k.storeRevision = max(k.storeRevision, e.Revision)
	k.mu.Unlock()
	return nil
}

// install fetches and installs the settings of a manifest if they are newer
// than those in force.
func (k *settingsSync) install(ctx context.Context, m platform.Manifest) error {
	k.installMu.Lock()
	defer k.installMu.Unlock()
	if m.Revision <= k.revision() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	k.mu.Lock()
	known := make(map[string]string, len(k.contentByHash))
	for hash, content := range k.contentByHash {
		known[hash] = content
	}
	k.mu.Unlock()
	t, err := settings.Fetch(ctx, k.daemon.store, m, known)
	if err != nil {
		return err
	}
	v := t.View(m.Revision)
	invariant.Check(v.Revision() > k.revision(), "settings-never-revert", "from", k.revision(), "to", v.Revision())
	k.remember(m, v, known)
	k.daemon.applySettings(v)
	return nil
}

// remember records the settings that are now in force. Of views with the same
// targets only the newest is kept, and of the contents only those that the
// manifest names.
func (k *settingsSync) remember(m platform.Manifest, v *settings.View, known map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.manifests = append([]platform.Manifest{m}, k.manifests...)
	k.manifests = k.manifests[:min(len(k.manifests), maxManifests)]
	kept := []*settings.View{v}
	for _, old := range k.recentViews {
		if old.Fingerprint() != v.Fingerprint() && len(kept) < maxViews {
			kept = append(kept, old)
		}
	}
	k.recentViews = kept
	k.contentByHash = make(map[string]string, len(m.Parts))
	for _, p := range m.Parts {
		k.contentByHash[p.Hash] = known[p.Hash]
	}
}

// pullReply returns the settings for a host with an earlier revision: as a
// delta with its contents if the manifest of that revision is still kept,
// otherwise as a manifest.
func (k *settingsSync) pullReply(q peer.Pull) (peer.Pulled, error) {
	var p peer.Pulled
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.manifests) == 0 || k.manifests[0].Revision <= q.Revision {
		return p, nil
	}
	present := k.manifests[0]
	for _, old := range k.manifests[1:] {
		if old.Revision != q.Revision || q.Whole != nil && *q.Whole {
			continue
		}
		d := settings.Between(old, present)
		text, err := json.Marshal(d)
		p.Delta = new(string(text))
		p.Parts = peer.PulledParts{}
		for _, c := range d.Changed {
			p.Parts[c.Hash] = k.contentByHash[c.Hash]
		}
		return p, errors.Wrap(err, "daemon: change")
	}
	text, err := json.Marshal(present)
	p.Manifest = new(string(text))
	return p, errors.Wrap(err, "daemon: manifest")
}

// handlePullReply returns the manifest of a pull reply, with revision 0 if it
// has none, and keeps the contents in the reply.
func (k *settingsSync) handlePullReply(p peer.Pulled) (platform.Manifest, error) {
	var m platform.Manifest
	k.addContents(p.Parts)
	switch {
	case p.Manifest != nil:
		return m, errors.Wrap(json.Unmarshal([]byte(*p.Manifest), &m), "daemon: manifest")
	case p.Delta != nil:
		var d platform.Delta
		if err := json.Unmarshal([]byte(*p.Delta), &d); err != nil {
			return m, errors.Wrap(err, "daemon: change")
		}
		return settings.Follow(k.manifest(), d)
	default:
		return m, nil
	}
}

// addContents keeps the contents that match their hashes.
func (k *settingsSync) addContents(parts map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for hash, content := range parts {
		if settings.HashOf(content) == hash {
			k.contentByHash[hash] = content
		}
	}
}

// missingContents returns the hashes of the contents that the manifest names
// and this host does not have.
func (k *settingsSync) missingContents(m platform.Manifest) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, p := range m.Parts {
		if _, ok := k.contentByHash[p.Hash]; !ok {
			out = append(out, p.Hash)
		}
	}
	return out
}

// contentsOf returns those of the contents with the given hashes that this host
// has.
func (k *settingsSync) contentsOf(hashes []string) map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]string{}
	for _, hash := range hashes {
		if content, ok := k.contentByHash[hash]; ok {
			out[hash] = content
		}
	}
	return out
}

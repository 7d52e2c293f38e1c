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

// Sizes of what is kept of earlier settings.
const (
	// viewsKept is the number of settings kept that differ in their targets.
	viewsKept = 3
	// manifestsKept is the number of manifests from which a change can be told.
	manifestsKept = 8
	// fetchTimeout bounds the reading of the parts of new settings.
	fetchTimeout = 10 * time.Second
)

// settingsKeeper keeps the settings in force up to date.
type settingsKeeper struct {
	daemon *Daemon

	// adopting is held while settings are put in force, so that they are in
	// order; mu guards the fields.
	adopting  sync.Mutex
	mu        sync.Mutex
	stored    int
	contents  map[string]string
	manifests []platform.Manifest
	recent    []*settings.Resolved
}

func newSettingsKeeper(d *Daemon) *settingsKeeper {
	return &settingsKeeper{daemon: d, contents: map[string]string{}}
}

// views returns the latest settings that differ in their targets, newest first.
func (k *settingsKeeper) views() []*settings.Resolved {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]*settings.Resolved(nil), k.recent...)
}

// current returns the revision in force, 0 before the first.
func (k *settingsKeeper) current() int {
	return k.manifest().Revision
}

func (k *settingsKeeper) manifest() platform.Manifest {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.manifests) == 0 {
		return platform.Manifest{}
	}
	return k.manifests[0]
}

// watch waits for settings that are newer than those known.
func (k *settingsKeeper) watch(ctx context.Context) error {
	k.mu.Lock()
	after := k.stored
	k.mu.Unlock()
	e, err := k.daemon.store.Watch(ctx, settings.ManifestKey, after, watchWait)
	switch {
	case err == nil:
		return k.take(ctx, e)
	case errors.Is(err, store.ErrNotFound):
		return nil
	default:
		return err
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
	if m.Revision <= k.current() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	k.mu.Lock()
	known := make(map[string]string, len(k.contents))
	for hash, content := range k.contents {
		known[hash] = content
	}
	k.mu.Unlock()
	t, err := settings.FetchTree(ctx, k.daemon.store, m, known)
	if err != nil {
		return err
	}
	v := t.Resolve(m.Revision)
	invariant.Check(v.Revision() > k.current(), "settings-never-revert", "from", k.current(), "to", v.Revision())
	k.remember(m, v, known)
	k.daemon.install(v)
	return nil
}

// remember keeps settings that are in force now. Of those with the same targets
// only the newest is kept, and of the contents those that are named.
func (k *settingsKeeper) remember(m platform.Manifest, v *settings.Resolved, known map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.manifests = append([]platform.Manifest{m}, k.manifests...)
	k.manifests = k.manifests[:min(len(k.manifests), manifestsKept)]
	kept := []*settings.Resolved{v}
	for _, old := range k.recent {
		if old.Fingerprint() != v.Fingerprint() && len(kept) < viewsKept {
			kept = append(kept, old)
		}
	}
	k.recent = kept
	k.contents = make(map[string]string, len(m.Parts))
	for _, p := range m.Parts {
		k.contents[p.Hash] = known[p.Hash]
	}
}

// answer returns the settings for a host that has those of an earlier revision:
// as a change with its contents when that revision is still known.
func (k *settingsKeeper) answer(q peer.PullRequest) (peer.PullReply, error) {
	var p peer.PullReply
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
		d := settings.DiffManifests(old, present)
		text, err := json.Marshal(d)
		p.Delta = new(string(text))
		p.Parts = peer.PullReplyParts{}
		for _, c := range d.Changed {
			p.Parts[c.Hash] = k.contents[c.Hash]
		}
		return p, errors.Wrap(err, "daemon: change")
	}
	text, err := json.Marshal(present)
	p.Manifest = new(string(text))
	return p, errors.Wrap(err, "daemon: manifest")
}

// pulled returns the manifest that was pulled, with revision 0 for none, and
// keeps the contents that came with it.
func (k *settingsKeeper) pulled(p peer.PullReply) (platform.Manifest, error) {
	var m platform.Manifest
	k.learn(p.Parts)
	switch {
	case p.Manifest != nil:
		return m, errors.Wrap(json.Unmarshal([]byte(*p.Manifest), &m), "daemon: manifest")
	case p.Delta != nil:
		var d platform.ManifestDelta
		if err := json.Unmarshal([]byte(*p.Delta), &d); err != nil {
			return m, errors.Wrap(err, "daemon: change")
		}
		return settings.ApplyDelta(k.manifest(), d)
	default:
		return m, nil
	}
}

// learn keeps contents that match their hashes.
func (k *settingsKeeper) learn(parts map[string]string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for hash, content := range parts {
		if settings.ContentHash(content) == hash {
			k.contents[hash] = content
		}
	}
}

// missing returns the hashes of the contents that a manifest names and which
// are not known.
func (k *settingsKeeper) missing(m platform.Manifest) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for _, p := range m.Parts {
		if _, ok := k.contents[p.Hash]; !ok {
			out = append(out, p.Hash)
		}
	}
	return out
}

// contentsOf returns the contents that are known of those named.
func (k *settingsKeeper) contentsOf(hashes []string) map[string]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string]string{}
	for _, hash := range hashes {
		if content, ok := k.contents[hash]; ok {
			out[hash] = content
		}
	}
	return out
}

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

// Limits on the settings kept in memory and the timeout for reading them.
const (
	// maxVersions is the number of versions of the settings kept that differ in
	// their targets.
	maxVersions = 3
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
	versions      []*settings.Resolved
}

func newSettingsSync(d *Daemon) *settingsSync {
	return &settingsSync{daemon: d, contentByHash: map[string]string{}}
}

// recentVersions returns the latest versions of the settings that differ in
// their targets, newest first.
func (s *settingsSync) recentVersions() []*settings.Resolved {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*settings.Resolved(nil), s.versions...)
}

// revision returns the revision in force, 0 before the first.
func (s *settingsSync) revision() int {
	return s.manifest().Revision
}

func (s *settingsSync) manifest() platform.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifests) == 0 {
		return platform.Manifest{}
	}
	return s.manifests[0]
}

// watch waits until the store has newer settings and installs them.
func (s *settingsSync) watch(ctx context.Context) error {
	s.mu.Lock()
	after := s.storeRevision
	s.mu.Unlock()
	e, err := s.daemon.store.Watch(ctx, settings.ManifestKey, after, watchTimeout)
	switch {
	case err == nil:
		return s.handleEntry(ctx, e)
	case errors.Is(err, store.ErrNotFound):
		return nil
	default:
		return err
	}
}

func (s *settingsSync) handleEntry(ctx context.Context, e store.Entry) error {
	var m platform.Manifest
	if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
		return errors.Wrap(err, "daemon: decode manifest")
	}
	if err := s.install(ctx, m); err != nil {
		return err
	}
	s.mu.Lock()
	s.storeRevision = max(s.storeRevision, e.Revision)
	s.mu.Unlock()
	return nil
}

// install fetches and installs the settings of a manifest if they are newer
// than those in force.
func (s *settingsSync) install(ctx context.Context, m platform.Manifest) error {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if m.Revision <= s.revision() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s.mu.Lock()
	known := make(map[string]string, len(s.contentByHash))
	for hash, content := range s.contentByHash {
		known[hash] = content
	}
	s.mu.Unlock()
	t, err := settings.FetchTree(ctx, s.daemon.store, m, known)
	if err != nil {
		return err
	}
	resolved := t.Resolve(m.Revision)
	invariant.Check(resolved.Revision() > s.revision(), "settings-never-revert", "from", s.revision(), "to", resolved.Revision())
	s.recordInstalled(m, resolved, known)
	s.daemon.applySettings(resolved)
	return nil
}

// recordInstalled records the settings that are now in force. Of versions with
// the same targets only the newest is kept, and of the contents only those that
// the manifest names.
func (s *settingsSync) recordInstalled(m platform.Manifest, resolved *settings.Resolved, known map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.manifests = append([]platform.Manifest{m}, s.manifests...)
	s.manifests = s.manifests[:min(len(s.manifests), maxManifests)]
	versions := []*settings.Resolved{resolved}
	for _, old := range s.versions {
		if old.Fingerprint() != resolved.Fingerprint() && len(versions) < maxVersions {
			versions = append(versions, old)
		}
	}
	s.versions = versions
	s.contentByHash = make(map[string]string, len(m.Parts))
	for _, p := range m.Parts {
		s.contentByHash[p.Hash] = known[p.Hash]
	}
}

// pullReply returns the settings for a host with an earlier revision: as a
// delta with its contents if the manifest of that revision is still kept,
// otherwise as a manifest.
func (s *settingsSync) pullReply(q peer.PullRequest) (peer.PullReply, error) {
	var p peer.PullReply
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.manifests) == 0 || s.manifests[0].Revision <= q.Revision {
		return p, nil
	}
	current := s.manifests[0]
	for _, old := range s.manifests[1:] {
		if old.Revision != q.Revision || q.Whole != nil && *q.Whole {
			continue
		}
		d := settings.DiffManifests(old, current)
		text, err := json.Marshal(d)
		p.Delta = new(string(text))
		p.Parts = peer.PullReplyParts{}
		for _, c := range d.Changed {
			p.Parts[c.Hash] = s.contentByHash[c.Hash]
		}
		return p, errors.Wrap(err, "daemon: encode delta")
	}
	text, err := json.Marshal(current)
	p.Manifest = new(string(text))
	return p, errors.Wrap(err, "daemon: encode manifest")
}

// handlePullReply returns the manifest of a pull reply, with revision 0 if it
// has none, and keeps the contents in the reply.
func (s *settingsSync) handlePullReply(p peer.PullReply) (platform.Manifest, error) {
	var m platform.Manifest
	s.addContents(p.Parts)
	switch {
	case p.Manifest != nil:
		return m, errors.Wrap(json.Unmarshal([]byte(*p.Manifest), &m), "daemon: decode manifest")
	case p.Delta != nil:
		var d platform.ManifestDelta
		if err := json.Unmarshal([]byte(*p.Delta), &d); err != nil {
			return m, errors.Wrap(err, "daemon: decode delta")
		}
		return settings.ApplyDelta(s.manifest(), d)
	default:
		return m, nil
	}
}

// addContents keeps the contents that match their hashes.
func (s *settingsSync) addContents(parts map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hash, content := range parts {
		if settings.ContentHash(content) == hash {
			s.contentByHash[hash] = content
		}
	}
}

// missingContents returns the hashes of the contents that the manifest names
// and this host does not have.
func (s *settingsSync) missingContents(m platform.Manifest) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, p := range m.Parts {
		if _, ok := s.contentByHash[p.Hash]; !ok {
			out = append(out, p.Hash)
		}
	}
	return out
}

// contentsOf returns those of the contents with the given hashes that this host
// has.
func (s *settingsSync) contentsOf(hashes []string) map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for _, hash := range hashes {
		if content, ok := s.contentByHash[hash]; ok {
			out[hash] = content
		}
	}
	return out
}

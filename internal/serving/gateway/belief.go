package gateway

import (
	"time"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/invariant"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
)

// Take implements feed.Sink.
func (g *Gateway) Take(now time.Time, items []feed.Item, whole bool, trouble time.Time) {
	changes := make([]Change, 0, len(items))
	for _, i := range items {
		c, err := g.decoder.Decode(i)
		if err != nil {
			g.tally.Add("items-unreadable", 1)
			g.log.Warn("item not readable", "key", i.Key, "revision", i.Revision, "error", err)
		}
		changes = append(changes, c)
	}
	size := g.fleet.Size()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !trouble.IsZero() {
		g.catalog.Troubled(trouble)
	}
	g.quiet = whole
	for i, c := range changes {
		g.take(now, items[i].Revision, c, size)
	}
	g.quiet = false
	if whole {
		g.listed = true
		g.log.Info("store read", "items", len(items), "targets", g.catalog.Len())
	}
}

func (g *Gateway) take(now time.Time, revision int64, c Change, size int) {
	switch {
	case c.Manifest != nil:
		g.adopt(revision, c.Manifest)
	case c.Target != nil:
		g.put(now, revision, *c.Target, size)
	case c.Gone != "":
		g.remove(now, revision, c.Gone)
	case c.Centre != "":
		if g.catalog.SetOut(c.Centre, !c.Back) {
			g.log.Info("data centre", "data-centre", c.Centre, "out", !c.Back, "revision", revision)
		}
	}
}

// adopt puts a manifest in force unless a later one is.
func (g *Gateway) adopt(revision int64, m *manifest.Manifest) {
	old := g.manifest.Load()
	if old != nil && m.Version() <= old.Version() {
		return
	}
	g.splitter.Keep(old, m)
	g.manifest.Store(m)
	invariant.Check(old == nil || m.Version() > old.Version(), "manifest-never-reverts", "version", m.Version())
	g.tally.Gauge("manifest-version", int(m.Version()))
	g.log.Info("manifest in force", "version", m.Version(), "revision", revision, "routes", len(m.Routes()))
}

func (g *Gateway) put(now time.Time, revision int64, t catalog.Target, size int) {
	old := g.catalog.Get(t.ID)
	restarted := old != nil && old.Incarnation != t.Incarnation
	if !g.catalog.Put(now, t) {
		return
	}
	if restarted {
		g.board.Forget(t.ID)
		g.pool.Drop(t.ID)
	}
	k := g.catalog.Get(t.ID)
	g.pool.SetMost(t.ID, g.connections(k, size))
	g.tally.Gauge("targets-known", g.catalog.Len())
	if g.quiet {
		return
	}
	g.log.Info("target", "target", t.ID, "service", t.Service, "data-centre", t.DataCentre, "address", t.Address,
		"leaving", t.Leaving, "cold-ms", t.Cold.Milliseconds(), "restarted", restarted, "revision", revision)
}

func (g *Gateway) remove(now time.Time, revision int64, id string) {
	known := g.catalog.Get(id) != nil
	if g.catalog.Remove(now, id) {
		g.pool.Drop(id)
		g.board.Forget(id)
		g.tally.Gauge("targets-known", g.catalog.Len())
	}
	if known {
		g.log.Info("target gone from the store", "target", id, "kept", g.catalog.Get(id) != nil, "revision", revision)
	}
}

// Coverage calls f for each data centre with the share of the services with
// routes that have a usable target there.
func (g *Gateway) Coverage(f func(dataCentre string, share float64)) {
	m := g.manifest.Load()
	if m == nil {
		return
	}
	services := map[string]bool{}
	for _, r := range m.Routes() {
		for _, s := range r.Services(nil) {
			services[s] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	held := map[string]int{}
	for s := range services {
		centres := map[string]bool{}
		for _, k := range g.catalog.Service(s) {
			if g.catalog.Usable(k) {
				centres[k.DataCentre] = true
			}
		}
		for c := range centres {
			held[c]++
		}
	}
	for c, n := range held {
		f(c, float64(n)/float64(len(services)))
	}
}

// usable returns the target if it may be given new requests, or nil.
func (g *Gateway) usable(id string) *catalog.Known {
	k := g.catalog.Get(id)
	if k == nil || !g.catalog.Usable(k) {
		return nil
	}
	return k
}

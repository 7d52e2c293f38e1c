package gateway

import (
	"fmt"
	"strings"
	"time"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/invariant"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
)

// Apply implements feed.Sink.
func (g *Gateway) Apply(now time.Time, items []feed.Item, whole bool, trouble time.Time) {
	changes := make([]Change, 0, len(items))
	for _, i := range items {
		c, err := g.decoder.Decode(i)
		if err != nil {
			g.tally.Add("items-unreadable", 1)
			g.log.Warn("item not readable", "key", i.Key, "revision", i.Revision, "error", err)
		}
		if c.Host != nil {
			g.fleet.AddHost(*c.Host)
		}
		changes = append(changes, c)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range changes {
		g.take(now, items[i].Revision, c, trouble)
	}
	g.tally.SetGauge("targets-known", g.catalog.Len())
	if whole {
		g.listed = true
		g.log.Info("store read", "items", len(items), "targets", g.catalog.Len())
	} else if len(g.news) > 0 {
		g.log.Info("targets", "changes", strings.Join(g.news, " "), "known", g.catalog.Len(), "revision", items[len(items)-1].Revision)
	}
	g.news = g.news[:0]
}

func (g *Gateway) take(now time.Time, revision int64, c Change, trouble time.Time) {
	switch {
	case c.Manifest != nil:
		g.adopt(revision, c.Manifest)
	case c.Target != nil:
		g.put(now, *c.Target)
	case c.DeletedTarget != "":
		g.remove(now, c.DeletedTarget, trouble)
	case c.DataCentre != "":
		if g.catalog.SetEvacuated(c.DataCentre, !c.Restored) {
			g.log.Info("data centre", "data-centre", c.DataCentre, "out", !c.Restored, "revision", revision)
		}
	}
}

// adopt puts a manifest in force unless a later one is.
func (g *Gateway) adopt(revision int64, m *manifest.Manifest) {
	old := g.manifest.Load()
	if old != nil && m.Version() <= old.Version() {
		return
	}
	g.splitter.Reconcile(old, m)
	g.manifest.Store(m)
	invariant.Check(old == nil || m.Version() > old.Version(), "manifest-never-reverts", "version", m.Version())
	g.tally.SetGauge("manifest-version", int(m.Version()))
	g.log.Info("manifest in force", "version", m.Version(), "revision", revision, "routes", len(m.Routes()))
}

func (g *Gateway) put(now time.Time, t catalog.Target) {
	old := g.catalog.Get(t.ID)
	restarted := old != nil && old.Incarnation != t.Incarnation
	if !g.catalog.Put(now, t) {
		return
	}
	if restarted {
		g.board.Forget(t.ID)
		g.pool.CloseIdle(t.ID)
	}
	k := g.catalog.Get(t.ID)
	g.pool.SetMaxConns(t.ID, g.connections(k))
	g.news = append(g.news, fmt.Sprintf("%s:%s:%s:%s", t.ID, t.Service, t.DataCentre, wordOf(t, restarted)))
}

func wordOf(t catalog.Target, restarted bool) string {
	switch {
	case t.Leaving:
		return "leaving"
	case restarted:
		return "restarted"
	case t.WarmupLeft > 0:
		return fmt.Sprintf("cold-%dms", t.WarmupLeft.Milliseconds())
	}
	return "ready"
}

func (g *Gateway) remove(now time.Time, id string, trouble time.Time) {
	k := g.catalog.Get(id)
	if k == nil {
		return
	}
	word := "missing"
	if g.catalog.Remove(now, id, trouble) {
		g.pool.CloseIdle(id)
		g.board.Forget(id)
		word = "gone"
	}
	g.news = append(g.news, fmt.Sprintf("%s:%s:%s:%s", id, k.Service, k.DataCentre, word))
}

// EachCoverage calls f for each data centre with the share of the services with
// routes that have a usable target there.
func (g *Gateway) EachCoverage(f func(dataCentre string, share float64)) {
	m := g.manifest.Load()
	if m == nil {
		return
	}
	services := map[string]bool{}
	for _, r := range m.Routes() {
		for _, s := range r.AppendServices(nil) {
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
func (g *Gateway) usable(id string) *catalog.Entry {
	k := g.catalog.Get(id)
	if k == nil || !g.catalog.Usable(k) {
		return nil
	}
	return k
}

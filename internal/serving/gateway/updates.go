package gateway

import (
	"fmt"
	"strings"
	"time"

	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/invariant"
	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/routing/manifest"
	"fescuerill/internal/serving/exchange"
)

// Apply implements feed.Sink.
func (g *Gateway) Apply(now time.Time, items []feed.Item, full bool, outage time.Time) {
	changes := make([]Change, 0, len(items))
	for _, i := range items {
		c, err := g.decoder.Decode(i)
		if err != nil {
			g.stats.Add("items-unreadable", 1)
			g.log.Warn("cannot decode store item", "key", i.Key, "revision", i.Revision, "error", err)
		}
		if c.Host != nil {
			g.fleet.AddHost(*c.Host)
		}
		changes = append(changes, c)
	}
	if full {
		g.fleet.SetSizeKnown()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range changes {
		g.applyChange(now, items[i], c, outage)
	}
	g.stats.SetGauge("targets-known", g.catalog.Len())
	if full {
		g.listed = true
		g.log.Info("full list of store items applied", "items", len(items), "targets", g.catalog.Len())
	} else if len(g.targetChanges) > 0 {
		g.log.Info("targets", "changes", strings.Join(g.targetChanges, " "), "known", g.catalog.Len(), "revision", items[len(items)-1].Revision)
	}
	g.targetChanges = g.targetChanges[:0]
}

// applyChange applies the content of one store item. The gateway is locked.
func (g *Gateway) applyChange(now time.Time, i feed.Item, c Change, outage time.Time) {
	switch {
	case c.Manifest != nil:
		g.setManifest(i.Revision, c.Manifest)
	case c.Target != nil:
		g.putTarget(now, *c.Target, i.Unconfirmed)
	case c.DeletedTarget != "":
		g.removeTarget(now, c.DeletedTarget, outage)
	case c.DataCentre != "":
		g.setEvacuated(now, i.Revision, c)
	}
}

// setEvacuated applies the entry of an evacuation, or its end. An evacuation whose entry the
// store has lost stays in force until the operators have had time to write it again.
func (g *Gateway) setEvacuated(now time.Time, revision int64, c Change) {
	if c.Lost && c.Restored {
		if g.catalog.EvacuationLost(now, c.DataCentre) {
			g.log.Info("data centre evacuation kept", "data-centre", c.DataCentre, "reason", "entry-lost", "revision", revision)
		}
		return
	}
	if g.catalog.SetEvacuated(c.DataCentre, !c.Restored) {
		g.log.Info("data centre evacuation changed", "data-centre", c.DataCentre, "out", !c.Restored, "revision", revision)
	}
}

// setManifest puts a manifest in force unless the current one is the same or newer.
func (g *Gateway) setManifest(revision int64, m *manifest.Manifest) {
	old := g.manifest.Load()
	if old != nil && m.Version() <= old.Version() {
		return
	}
	g.splitter.Reconcile(old, m)
	g.manifest.Store(m)
	invariant.Check(old == nil || m.Version() > old.Version(), "manifest-never-reverts", "version", m.Version())
	g.stats.SetGauge("manifest-version", int(m.Version()))
	g.log.Info("manifest in force", "version", m.Version(), "revision", revision, "routes", len(m.Routes()))
}

// putTarget records a target. If it has restarted, its connections and its observed state
// are dropped. An unconfirmed report does not bring back a target that was dropped after it.
func (g *Gateway) putTarget(now time.Time, t catalog.Target, unconfirmed bool) {
	old := g.catalog.Get(t.ID)
	restarted := old != nil && old.Incarnation != t.Incarnation
	put := g.catalog.Put
	if unconfirmed {
		put = g.catalog.PutUnconfirmed
	}
	if !put(now, t) {
		if g.catalog.Get(t.ID) == nil {
			g.targetChanges = append(g.targetChanges, fmt.Sprintf("%s:%s:%s:held", t.ID, t.Service, t.DataCentre))
		}
		return
	}
	if restarted {
		g.tracker.Forget(t.ID)
		g.pool.CloseIdle(t.ID)
	}
	e := g.catalog.Get(t.ID)
	g.pool.SetMaxConns(t.ID, g.connectionLimit(e))
	g.targetChanges = append(g.targetChanges, fmt.Sprintf("%s:%s:%s:%s", t.ID, t.Service, t.DataCentre, describeChange(t, restarted)))
}

// describeChange returns the change of a target as logged.
func describeChange(t catalog.Target, restarted bool) string {
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

// removeTarget records that a target is no longer in the store; outage is the time of the
// last outage of the store, or zero.
func (g *Gateway) removeTarget(now time.Time, id string, outage time.Time) {
	e := g.catalog.Get(id)
	if e == nil {
		return
	}
	change := "missing"
	if g.catalog.Remove(now, id, outage) {
		g.pool.CloseIdle(id)
		g.tracker.Forget(id)
		change = "gone"
	}
	g.targetChanges = append(g.targetChanges, fmt.Sprintf("%s:%s:%s:%s", id, e.Service, e.DataCentre, change))
}

// EachCoverage calls f for each data centre with the share of the routed services that
// have a usable target there.
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
	covered := map[string]int{}
	for s := range services {
		centres := map[string]bool{}
		for _, e := range g.catalog.Service(s) {
			if g.catalog.Usable(e) {
				centres[e.DataCentre] = true
			}
		}
		for c := range centres {
			covered[c]++
		}
	}
	for c, n := range covered {
		f(c, float64(n)/float64(len(services)))
	}
}

// address returns where requests to a target are sent.
func (g *Gateway) address(e *catalog.Entry) exchange.Target {
	return exchange.Target{ID: e.ID, Address: e.Address, Incarnation: e.Incarnation, Remote: e.DataCentre != g.dataCentre}
}

// usableTarget returns the target if new requests can be sent to it now, or nil. The gateway
// is locked.
func (g *Gateway) usableTarget(now time.Time, id string) *catalog.Entry {
	e := g.catalog.Get(id)
	if e == nil || !g.catalog.Usable(e) || g.catalog.ClosedFor(now, e) > 0 {
		return nil
	}
	return e
}

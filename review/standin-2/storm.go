//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// stormCase writes large manifests in quick succession. Each adds a route and drops the one that
// the version before it added.
func stormCase(p *play) (bool, error) {
	const (
		versions = 25
		gap      = 60 * time.Millisecond
		// applyTime is the time within which a version must be in force, and probeInterval the
		// time between two requests to each host that test it.
		applyTime     = 3 * time.Second
		probeInterval = 2 * time.Second
		probes        = 8
		// routes and shards make a manifest of nearly the largest size that the store takes. The
		// routes search an index of that many shards.
		routes = 1900
		shards = 30
	)
	if err := p.addSearch(0); err != nil {
		return false, err
	}
	m := p.manifest
	base := m.Routes[0]
	var index []string
	for n := range shards {
		s := m.Services[0]
		s.Name = fmt.Sprintf("lohu%02d-%d", n, n)
		m.Services = append(m.Services, s)
		index = append(index, s.Name)
	}
	for n := range routes {
		r := base
		r.Name, r.Prefix, r.Gather = fmt.Sprintf("r-big%05d", n), fmt.Sprintf("/big%05d/", n), index
		m.Routes = append(m.Routes, r)
	}
	p.putManifest(m)
	if err := p.begin(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	fixed := m.Routes
	count := versions
	if !p.trouble {
		count = 1
	}
	last := ""
	var acknowledged time.Time
	for n := range count {
		next := time.Now().Add(gap)
		r := base
		r.Name, r.Prefix = fmt.Sprintf("r-new%05d", n), fmt.Sprintf("/new%05d/", n)
		m.Version += 3
		m.Routes = slices.Concat(fixed, []route{r})
		p.putManifest(m)
		acknowledged, last = time.Now(), r.Prefix
		time.Sleep(time.Until(next))
	}
	bad := 0
	c := newConsumer(p.deployment, "probe", smallZones[0].name)
	for n := range probes {
		time.Sleep(time.Until(acknowledged.Add(applyTime + 200*time.Millisecond + time.Duration(n)*probeInterval)))
		for _, h := range p.hosts {
			after := time.Since(acknowledged).Seconds()
			o := c.attempt(h.front(), http.MethodGet, last+"2f", 600*time.Millisecond, nil)
			verdict := "held"
			if o.status == http.StatusNotFound {
				verdict = "BROKEN"
				bad++
			}
			p.record.add("%s: %s answers %s to %s on route %s, %.1f s after the acknowledgement", verdict, h.name, o, o.id, last, after)
		}
	}
	p.record.add("%d of %d requests were refused with 404 though the route was there for over %s", bad, probes*len(p.hosts), applyTime)
	return bad > 0, nil
}

// putManifest writes a manifest as the operator does.
func (p *play) putManifest(m manifest) {
	n := p.store.Put("op/config", m)
	p.record.add("version %d of the manifest, with %d routes and %d bytes, is acknowledged", m.Version, len(m.Routes), n)
}

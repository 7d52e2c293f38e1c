//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() {
	cases["restored-store"] = func(d *deployment) ([]string, error) { return restoredStore(d, false) }
	cases["restored-store-rewritten"] = func(d *deployment) ([]string, error) { return restoredStore(d, true) }
}

const (
	// copyAge is the age of the copy from which the store comes back, and awayTime how long it
	// is away.
	copyAge  = 5 * time.Second
	awayTime = time.Second
	// changeDelay is the time from the return of the store to the change of the manifest.
	changeDelay = 2 * time.Second
	// lostDelay is the time from the manifest that the store loses to the end of its answers, and
	// rewriteDelay the one from the return of the store until that manifest is written again.
	lostDelay    = time.Second
	rewriteDelay = 300 * time.Millisecond
	// applyTime is the time after the ack of a manifest after which all machines in touch have
	// to use it: config_apply_ms, contact_ms and skew_max_ms together.
	applyTime = 3*time.Second + 4*time.Second + 12*time.Second
	shards    = 20
)

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// restoredStore brings the store back from a copy some seconds old, lets the operator write a
// manifest soon after, and asks each machine for the routes that it added and moved. If rewritten
// is set, the store has lost the manifest before, and the operator writes that again first.
func restoredStore(d *deployment, rewritten bool) ([]string, error) {
	services := map[string]int{"kafi81c": 110, "steward7d": 110}
	var all []string
	for n := range shards {
		name := fmt.Sprintf("huvo%02d", n)
		all = append(all, name)
		services[name] = 26
		if _, err := d.addBackends(name, zones[:2], 2, 25, 5*time.Millisecond); err != nil {
			return nil, err
		}
	}
	old, err := d.addBackends("kafi81c", zones, 6, 0, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	if _, err := d.addBackends("steward7d", zones, 6, 0, 20*time.Millisecond); err != nil {
		return nil, err
	}
	search := gather("r-sweep", "/ziti980/ti38/", all, 1200, 20, 0.89)
	d.store.put("op/config", manifestOf(7, services, search, single("r-card", "/timi402/", "kafi81c", "safe", 4000)))
	if err := d.startMachines(map[string]int{"khomas-a": 4, "khomas-b": 2, "khomas-c": 3}); err != nil {
		return nil, err
	}
	d.sleep(12 * time.Second)
	c := newClient(d.journal, true)
	for _, m := range d.machines {
		if a := c.send(d.ctx, m, http.MethodGet, "/timi402/1", nil, 4*time.Second); a.status != http.StatusOK {
			return nil, fmt.Errorf("%s does not serve before the disruption: status %d", m.name, a.status)
		}
	}
	lost := manifestOf(8, services, search, single("r-card", "/timi402/", "kafi81c", "safe", 3500))
	if rewritten {
		revision := d.store.put("op/config", lost)
		d.journal.note("the store acknowledges version 8 at revision %d: r-card gets another time-out", revision)
		d.sleep(lostDelay)
	}
	leftAt := time.Now()
	if d.trouble {
		d.store.leave()
		d.journal.note("the store is away")
	}
	d.sleep(awayTime)
	if d.trouble {
		before, now := d.store.returnFromCopy(copyAge, leftAt)
		d.journal.note("the store is back from a copy; revision %d before, %d now", before, now)
	}
	if rewritten && d.trouble {
		d.sleep(rewriteDelay)
		d.journal.note("the operator writes version 8 again, at revision %d", d.store.put("op/config", lost))
	}
	d.sleep(changeDelay)
	revision := d.store.put("op/config", manifestOf(9, services, search,
		single("r-card", "/timi402/", "steward7d", "safe", 4000), single("r-added", "/bapu561/", "steward7d", "safe", 4000)))
	ackedAt := time.Now()
	d.journal.note("the store acknowledges version 9 at revision %d: r-added is new, r-card goes to steward7d", revision)
	d.sleep(applyTime + time.Second)
	var broken []string
	for _, m := range d.machines {
		broken = append(broken, d.askForVersion(c, m, ackedAt)...)
	}
	// The service that has no route any more is drained and taken away.
	for _, b := range old {
		b.drain()
	}
	d.sleep(8 * time.Second)
	for _, b := range old {
		b.end()
	}
	d.sleep(5 * time.Second)
	for _, m := range d.machines {
		if a := c.send(d.ctx, m, http.MethodGet, "/timi402/3", nil, 4*time.Second); a.status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("CONFIG %s answers %d on the moved route %.0f s after the ack, since it knows only the service that is gone",
				m.name, a.status, time.Since(ackedAt).Seconds()))
		}
	}
	return broken, nil
}

// askForVersion asks a machine for the routes that the new manifest added and moved.
func (d *deployment) askForVersion(c *client, m *machine, ackedAt time.Time) []string {
	var broken []string
	late := time.Since(ackedAt).Seconds()
	if a := c.send(d.ctx, m, http.MethodGet, "/bapu561/2", nil, 4*time.Second); a.status == http.StatusNotFound {
		broken = append(broken, fmt.Sprintf("CONFIG %s answers 404 on the route that was added %.0f s before", m.name, late))
	}
	a := c.send(d.ctx, m, http.MethodGet, "/timi402/2", nil, 4*time.Second)
	for _, r := range d.journal.runsOf(a.id) {
		if r.backend.service == "kafi81c" {
			broken = append(broken, fmt.Sprintf("CONFIG %s has a request run by the old service of a route that was moved %.0f s before", m.name, late))
		}
	}
	return broken
}

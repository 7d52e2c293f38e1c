//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["restored-store-evacuation"] = restoredStoreEvacuation }

const (
	// evacuateTime is the time after the ack of an evacuation after which all machines in touch
	// have to heed it: evacuate_ms, contact_ms and skew_max_ms together.
	evacuateTime = 5*time.Second + 4*time.Second + 12*time.Second
	// evacuationRequests is the number of requests that each machine gets after that.
	evacuationRequests = 6
)

// restoredStoreEvacuation brings the store back from a copy some seconds old, lets the operator
// evacuate a zone soon after, and sends each machine requests later than it has to heed that.
func restoredStoreEvacuation(d *deployment) ([]string, error) {
	if _, err := d.addBackends("kafi81c", zones, 6, 0, 20*time.Millisecond); err != nil {
		return nil, err
	}
	for n := range shards {
		if _, err := d.addBackends(fmt.Sprintf("huvo%02d", n), zones[:2], 2, 25, 5*time.Millisecond); err != nil {
			return nil, err
		}
	}
	d.store.put("op/config", manifestOf(7, map[string]int{"kafi81c": 110}, single("r-card", "/timi402/", "kafi81c", "safe", 4000)))
	if err := d.startMachines(map[string]int{"khomas-a": 3, "khomas-b": 3, "khomas-c": 3}); err != nil {
		return nil, err
	}
	d.sleep(12 * time.Second)
	c := newClient(d.journal, true)
	if err := d.askAll(c, 2); err != nil {
		return nil, err
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
	d.sleep(changeDelay)
	revision := d.store.put("op/evacuate/"+zones[0], map[string]any{})
	ackedAt := time.Now()
	d.journal.note("the store acknowledges the evacuation of %s at revision %d", zones[0], revision)
	d.sleep(evacuateTime + time.Second)
	sentAfter := time.Now()
	if err := d.askAll(c, evacuationRequests); err != nil {
		return nil, err
	}
	var broken []string
	for _, b := range d.backends {
		if b.zone != zones[0] {
			continue
		}
		for _, r := range d.journal.runsAt(b) {
			if r.at.After(sentAfter) {
				broken = append(broken, fmt.Sprintf("EVAC %s in %s runs request %s, sent by way of %s, %.1f s after the ack of the evacuation",
					b.id, b.zone, r.id, d.journal.machineOf(r.id), r.at.Sub(ackedAt).Seconds()))
			}
		}
	}
	return broken, nil
}

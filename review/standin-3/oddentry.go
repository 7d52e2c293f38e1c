//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

const (
	// drainTime is drain_ms, and leavingTime how long a draining backend serves after it.
	drainTime   = 3 * time.Second
	leavingTime = 12 * time.Second
	// tooLarge is the start of a backend that another writer leaves in its entry, a Unix time in
	// milliseconds some thousand years ahead.
	tooLarge = 99_999_999_999_999
)

// oddEntry leaves an entry of another writer under the ID of a backend, with a time of its start
// that is too large. The backend writes its own entry again and again, and drains some seconds
// later. Then each machine gets requests that the backend could run.
func oddEntry(d *deployment) ([]string, error) {
	cards, err := d.addBackends("kafi81c", []string{zones[0], zones[0]}, 2, 0, 20*time.Millisecond)
	if err != nil {
		return nil, err
	}
	d.store.put("op/config", manifestOf(7, map[string]int{"kafi81c": 26}, single("r-card", "/timi402/", "kafi81c", "safe", 4000)))
	if err := d.startMachines(map[string]int{"khomas-a": 3, "khomas-b": 3, "khomas-c": 3}); err != nil {
		return nil, err
	}
	d.sleep(10 * time.Second)
	c := newClient(d.journal, true)
	if err := d.askAll(c, 3); err != nil {
		return nil, err
	}
	left := cards[0]
	if d.trouble {
		waitFor(2*heartbeat, left.hasJustWritten())
		d.journal.note("another writer leaves an entry of %s with the start %d, at revision %d", left.id, int64(tooLarge), left.writeOddEntry(tooLarge))
	}
	d.sleep(5 * time.Second)
	if err := d.askAll(c, 3); err != nil {
		return nil, err
	}
	revision := left.drain()
	ackedAt := time.Now()
	d.journal.note("the store acknowledges at revision %d that %s is draining", revision, left.id)
	d.sleep(drainTime + 2*time.Second)
	if err := d.askAll(c, 6); err != nil {
		return nil, err
	}
	d.sleep(leavingTime - time.Since(ackedAt))
	left.end()
	var broken []string
	for _, r := range d.journal.runsAt(left) {
		if late := r.at.Sub(ackedAt); late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN %s runs request %s, sent by way of %s, %.1f s after the ack that it is draining",
				left.id, r.id, d.journal.machineOf(r.id), late.Seconds()))
		}
	}
	return broken, nil
}

// askAll sends each machine some requests at the same time.
func (d *deployment) askAll(c *client, requests int) error {
	for _, m := range d.machines {
		statuses := make(chan int, requests)
		for range requests {
			go func() { statuses <- c.send(d.ctx, m, http.MethodGet, "/timi402/1", nil, 4*time.Second).status }()
		}
		for range requests {
			if status := <-statuses; status != http.StatusOK {
				return fmt.Errorf("%s does not serve: status %d", m.name, status)
			}
		}
	}
	return nil
}

//go:build review

package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case grace.
const (
	// graceConsumers ask for requests that must not be repeated. Every second one keeps the
	// addresses three times as long and opens a new connection for each request.
	graceWork      = 160 * time.Millisecond
	graceConsumers = 30
	graceThink     = 250 * time.Millisecond
	// changed is the number of hosts, of three, whose settings file changes: a share of 0.6,
	// rounded up.
	changed = 2
	// shorterGrace is grace_s in the changed settings file, in seconds; it was 6 before.
	shorterGrace = 4
	// configApply and contact are config_apply_ms and contact_ms, in which the changed
	// settings have long come into force.
	configApply = 3 * time.Second
	contact     = 4 * time.Second
	restart     = 500 * time.Millisecond
	// excused is the time after SIGTERM up to which a request is excused that its backend
	// still works on at the end.
	excused = 3 * time.Second
)

// stop is a planned stop of a host.
type stop struct {
	front      string
	began, end time.Time
}

// grace changes the settings file of the hosts, sends them SIGHUP, and stops them in turn
// later on: SIGTERM, and SIGKILL after the grace period of the settings file.
func grace(rec *record, trouble bool) (int, error) {
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return couldnRun, err
	}
	defer d.end(func(line string) bool {
		return strings.Contains(line, "settings") || strings.Contains(line, "stopping") || strings.Contains(line, "stopped")
	})
	d.store.put("op/config", cardManifest("unsafe"))
	if _, err := startCards(d, zones, graceWork); err != nil {
		return couldnRun, err
	}
	if err := d.startAll(); err != nil {
		return couldnRun, err
	}
	var mu sync.Mutex
	var attempts []*attempt
	done := make(chan struct{})
	var asking sync.WaitGroup
	for n := range graceConsumers {
		asking.Go(func() {
			c := &consumer{d: d, zone: zones[n%len(zones)], patient: n%2 == 0, reconnects: n%2 == 0}
			defer c.disconnect()
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(graceThink))):
				}
				a := c.send(http.MethodPost, cardPath, bytes.Repeat([]byte("x"), 300), cardTimeout)
				if a == nil {
					continue
				}
				rec.write("consumer sent %s to %s: status %d after %d ms, error %v", a.id, a.front, a.status, a.endedAt.Sub(a.sentAt).Milliseconds(), a.err)
				mu.Lock()
				attempts = append(attempts, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(contact)
	period := 6
	if trouble {
		period = shorterGrace
	}
	for _, h := range d.hosts[:changed] {
		h.settings["bounds"].(map[string]any)["grace_s"] = period
		if err := h.writeSettings(); err != nil {
			return couldnRun, err
		}
		h.signal(syscall.SIGHUP)
		rec.write("the settings file of %s says grace_s %d; SIGHUP", h.name, period)
	}
	time.Sleep(configApply + contact)
	var stops []stop
	for _, h := range d.hosts[:changed] {
		s := stop{front: h.front(), began: time.Now()}
		rec.write("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		if !h.waitExit(time.Duration(period) * time.Second) {
			rec.write("SIGKILL to %s, which still runs after grace_s", h.name)
			h.signal(syscall.SIGKILL)
			h.waitExit(time.Second)
		}
		s.end = time.Now()
		rec.write("%s has ended", h.name)
		stops = append(stops, s)
		time.Sleep(restart)
		if err := h.start(); err != nil {
			return couldnRun, err
		}
		time.Sleep(2 * contact)
	}
	close(done)
	asking.Wait()
	return checkStops(rec, attempts, stops), nil
}

// checkStops checks the rule LOST around the stops.
func checkStops(rec *record, attempts []*attempt, stops []stop) int {
	statuses := map[int]int{}
	lost, notCounted := 0, 0
	for _, a := range attempts {
		statuses[a.status]++
		ran := rec.ranOn(a.id)
		if a.err == nil || len(ran) == 0 {
			continue
		}
		for _, s := range stops {
			if a.front != s.front || a.endedAt.Before(s.began) || a.sentAt.After(s.end) {
				continue
			}
			after := a.sentAt.Sub(s.began)
			if after <= excused {
				notCounted++
				rec.write("not counted: %s was sent %.3f s after the SIGTERM and cut off: %v", a.id, after.Seconds(), a.err)
				continue
			}
			lost++
			rec.write("LOST: %s was sent %.3f s after the SIGTERM, passed on to %v and cut off without an answer %.3f s after the SIGTERM: %v",
				a.id, after.Seconds(), ran, a.endedAt.Sub(s.began).Seconds(), a.err)
		}
	}
	rec.write("%d consumer attempts, by status %v (0: no answer); lost: %d; cut off but not counted: %d", len(attempts), statuses, lost, notCounted)
	if lost > 0 {
		return broken
	}
	return held
}

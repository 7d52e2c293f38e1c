//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case late-copy. The shares and lengths are those of srv_grey (shed across)
// and garble (extra late across) in the site file of krt-fescue.
const (
	deskServices = 50
	deskLimit    = 4 * time.Second
	deskWork     = 7500 * time.Microsecond
	deskRate     = 110 // a second
	loadTime     = 80 * time.Second
	// deskConsumers ask, each for requests one after the other, and do not repeat one with
	// less than minTimeLeft.
	deskConsumers = 100
	minTimeLeft   = 100 * time.Millisecond

	shedShare = 0.8 // of the backends
	shedRate  = 0.6 // of their requests
	shedTime  = 9 * time.Second
	lateShare = 0.5  // of the backends
	lateRate  = 0.04 // of their answers
	lateTime  = 5 * time.Second
	calmTime  = time.Second
)

// deskPath returns the path of the route of a service.
func deskPath(n int) string { return fmt.Sprintf("/desk%d/", n) }

// deskService returns the name of a service.
func deskService(n int) string { return fmt.Sprintf("huvo%da", n) }

// limits are the operator's limits on what consumers send.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// deskManifest returns a manifest with a route for each service. Requests on it must not be
// repeated.
func deskManifest() map[string]any {
	routes, services := []map[string]any{}, []map[string]any{}
	for n := range deskServices {
		routes = append(routes, map[string]any{
			"name": "r-" + deskService(n), "hostname": hostname, "prefix": deskPath(n), "type": "unsafe", "timeout_ms": 4000, "latency_target_ms": 250,
			"priority": 2, "service": deskService(n), "max_attempts": 2,
		})
		services = append(services, map[string]any{
			"name": deskService(n), "health_path": "/healthz", "max_connections": 26, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		})
	}
	return map[string]any{"version": 7, "routes": routes, "services": services, "limits": limits}
}

// startDesks starts the two backends of each service, in zones of their own.
func startDesks(d *deployment, zones []string) ([]*backend, error) {
	var backends []*backend
	for n := range deskServices {
		for _, zone := range zones[:2] {
			b := &backend{
				id: fmt.Sprintf("i-%08x", rand.Uint32()), service: deskService(n), zone: zone,
				address: fmt.Sprintf("%s.%d:%s", d.subnet, 100+len(backends), backendPort), slots: 2, queue: 12, rec: d.rec,
				work: func() time.Duration { return time.Duration((0.65 + 0.7*rand.Float64()) * float64(deskWork)) },
			}
			if err := b.start(d.store); err != nil {
				return nil, err
			}
			backends = append(backends, b)
		}
	}
	return backends, nil
}

// disturbDesks makes some backends turn requests away, and some send a second copy of a few
// of their answers late: where the next answer on the connection is expected.
func disturbDesks(rec *record, backends []*backend) {
	for {
		var shedding, copying atomic.Bool
		shedding.Store(true)
		copying.Store(true)
		pick := func(share float64) []*backend {
			chosen := append([]*backend(nil), backends...)
			rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
			return chosen[:int(share*float64(len(chosen)))]
		}
		for _, b := range pick(shedShare) {
			b.setShed(func() bool { return shedding.Load() && rand.Float64() < shedRate })
		}
		for _, b := range pick(lateShare) {
			b.setExtraLate(func() bool { return copying.Load() && rand.Float64() < lateRate })
		}
		rec.write("disruption: %g of the backends turn %g of their requests away, %g of them repeat %g of their answers", shedShare, shedRate, lateShare, lateRate)
		time.Sleep(lateTime)
		copying.Store(false)
		time.Sleep(shedTime - lateTime)
		shedding.Store(false)
		rec.write("disruption ends")
		time.Sleep(calmTime)
	}
}

// lateCopy sends requests that must not be repeated.
func lateCopy(rec *record, trouble bool) (int, error) {
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return couldnRun, err
	}
	defer d.end(func(line string) bool { return strings.Contains(line, "invariant") })
	d.store.put("op/config", deskManifest())
	backends, err := startDesks(d, zones)
	if err != nil {
		return couldnRun, err
	}
	if err := d.startAll(); err != nil {
		return couldnRun, err
	}
	if trouble {
		go disturbDesks(rec, backends)
	}
	var mu sync.Mutex
	var attempts []*attempt
	var asking sync.WaitGroup
	end := time.Now().Add(loadTime)
	for n := range deskConsumers {
		asking.Go(func() {
			c := &consumer{d: d, zone: zones[n%len(zones)], reconnects: true}
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * deskConsumers / deskRate))
				made := c.askOnce(deskPath(rand.IntN(deskServices)) + "2f")
				mu.Lock()
				attempts = append(attempts, made...)
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	return checkOnce(rec, attempts), nil
}

// askOnce sends one request that must not be repeated, and once more on a new connection if
// the answer promises that it has not run.
func (c *consumer) askOnce(path string) []*attempt {
	var made []*attempt
	end := time.Now().Add(deskLimit)
	for range 2 {
		a := c.send(http.MethodPost, path, bytes.Repeat([]byte("x"), 300), time.Until(end))
		if a == nil {
			return made
		}
		made = append(made, a)
		c.d.rec.write("consumer sent %s to %s: status %d after %d ms, error %v", a.id, a.front, a.status, a.endedAt.Sub(a.sentAt).Milliseconds(), a.err)
		if !promise(a.status) {
			return made
		}
		time.Sleep(min(a.retryAfter(), time.Until(end)/3))
		if time.Until(end) < minTimeLeft {
			return made
		}
	}
	return made
}

// checkOnce checks the rules TWICE and REFUSED.
func checkOnce(rec *record, attempts []*attempt) int {
	// A request that was answered as not run must not run later either.
	time.Sleep(time.Second)
	statuses := map[int]int{}
	twice, refused := 0, 0
	for _, a := range attempts {
		statuses[a.status]++
		ran := rec.ranOn(a.id)
		if len(ran) > 1 {
			twice++
			rec.write("TWICE: %s ran %d times, on %v; its consumer got status %d", a.id, len(ran), ran, a.status)
		}
		if len(ran) > 0 && promise(a.status) {
			refused++
			rec.write("REFUSED: %s was answered %d and ran on %v", a.id, a.status, ran)
		}
	}
	rec.write("%d consumer attempts, by status %v; ran twice: %d; refused though run: %d", len(attempts), statuses, twice, refused)
	if twice+refused > 0 {
		return broken
	}
	return held
}

//go:build review

package main

import (
	"bytes"
	"compress/gzip"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case encoded. The share, the rate and the length are those of garble on the
// site krt-fescue.
const (
	encodedWork     = 60 * time.Millisecond
	encodedRate     = 22.5 // requests a second
	encodedTime     = 90 * time.Second
	garbleBackends  = 1 // of 3: a share of 0.35
	garbleShare     = 0.02
	garbleTime      = 5 * time.Second
	garblePause     = 2 * time.Second
	encodedConsumer = 20
)

// encode returns the answer with its body compressed, and the header field that says so.
func encode(a answer) answer {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(a.body)
	_ = w.Close()
	a.header += "Content-Encoding: gzip\r\n"
	a.body = b.Bytes()
	return a
}

// encoded lets one of three backends spoil a few of its answers: it hands out other bytes
// than its body, with a Content-Encoding.
func encoded(rec *record, trouble bool) (int, error) {
	zones := []string{"khomas-a", "khomas-b", "khomas-c"}
	d, err := newDeployment(rec, zones)
	if err != nil {
		return couldnRun, err
	}
	defer d.end(func(line string) bool { return strings.Contains(line, "invariant") })
	d.store.put("op/config", cardManifest("safe"))
	backends, err := startCards(d, zones, encodedWork)
	if err != nil {
		return couldnRun, err
	}
	var troubled atomic.Bool
	for _, b := range backends[:garbleBackends] {
		b.setSpoil(func(a answer) (answer, bool) {
			if a.status != http.StatusOK || !troubled.Load() || rand.Float64() >= garbleShare {
				return a, false
			}
			return encode(a), true
		})
	}
	if err := d.startAll(); err != nil {
		return couldnRun, err
	}
	go func() {
		for trouble {
			rec.write("disruption: %d of %d backends spoil %g of their answers", garbleBackends, len(backends), garbleShare)
			troubled.Store(true)
			time.Sleep(garbleTime)
			rec.write("disruption ends")
			troubled.Store(false)
			time.Sleep(garblePause)
		}
	}()
	var mu sync.Mutex
	var attempts []*attempt
	var asking sync.WaitGroup
	end := time.Now().Add(encodedTime)
	for n := range encodedConsumer {
		asking.Go(func() {
			c := &consumer{d: d, zone: zones[n%len(zones)]}
			defer c.disconnect()
			for time.Now().Before(end) {
				a := c.send(http.MethodGet, cardPath, nil, cardTimeout)
				if a != nil {
					rec.write("consumer sent %s to %s: status %d, stamp %q, Content-Encoding %q, %d bytes, error %v",
						a.id, a.front, a.status, a.header.Get("X-Response-Stamp"), a.header.Get("Content-Encoding"), len(a.body), a.err)
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) * encodedConsumer / encodedRate))
			}
		})
	}
	asking.Wait()
	return checkWhole(rec, attempts), nil
}

// checkWhole checks the first sentence of the rule MIXED.
func checkWhole(rec *record, attempts []*attempt) int {
	statuses := map[int]int{}
	mixed := 0
	for _, a := range attempts {
		statuses[a.status]++
		if a.err != nil || a.status < 200 || a.status > 299 {
			continue
		}
		mac := a.header.Get("X-Response-Stamp")
		body, ok := rec.bodyOf(a.id, mac)
		switch {
		case !ok:
			rec.write("MIXED: the success to %s has the stamp %q, which no backend gave to it", a.id, mac)
		case !bytes.Equal(body, a.body):
			rec.write("MIXED: the success to %s has %d bytes, Content-Encoding %q; the body of its backend is %q", a.id, len(a.body), a.header.Get("Content-Encoding"), body)
		default:
			continue
		}
		mixed++
	}
	rec.write("%d consumer attempts, by status %v; successes without the backend's whole body: %d", len(attempts), statuses, mixed)
	if mixed > 0 {
		return broken
	}
	return held
}

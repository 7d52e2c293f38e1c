//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// cardPath is a path on the route of cardManifest.
const cardPath = "/timi402/2f"

// cardTimeout is the time limit of a request on that route.
const cardTimeout = 4 * time.Second

// cardManifest returns a manifest with one route, of the given type, to the service kafi81c:
// tower-card of the site krt-fescue.
func cardManifest(kind string) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-s4qmv29", "hostname": hostname, "prefix": "/timi402/", "type": kind, "timeout_ms": 4000, "latency_target_ms": 250,
			"priority": 2, "service": "kafi81c", "max_attempts": 2,
		}},
		"services": []map[string]any{{
			"name": "kafi81c", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 0.0,
		}},
		"limits": limits,
	}
}

// startCards starts three backends of the service, one in each zone. work is the mean time
// that a request runs.
func startCards(d *deployment, zones []string, work time.Duration) ([]*backend, error) {
	var backends []*backend
	for i, zone := range zones {
		b := &backend{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "kafi81c", zone: zone, address: fmt.Sprintf("%s.%d:%s", d.subnet, 100+i, backendPort),
			slots: 6, queue: 24, work: func() time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(work)) }, rec: d.rec,
		}
		if err := b.start(d.store); err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	return backends, nil
}

// consumer asks one directory after another where to connect and keeps the answer.
type consumer struct {
	d    *deployment
	zone string
	// patient is set if the consumer keeps an answer of the directory three times as long.
	patient bool
	// reconnects is set if the consumer opens a new connection for each request.
	reconnects bool
	addresses  []string
	until      time.Time
	conn       *connection
	address    string
}

// send sends one request and returns the attempt, or nil if it could not connect.
func (c *consumer) send(method, path string, body []byte, limit time.Duration) *attempt {
	c.refresh()
	if c.conn == nil && !c.connect() {
		return nil
	}
	a := c.conn.send(method, path, body, limit)
	if c.reconnects || a.closes() {
		c.disconnect()
	}
	return a
}

// refresh asks for new addresses if the old ones have expired.
func (c *consumer) refresh() {
	if time.Now().Before(c.until) {
		return
	}
	for _, i := range rand.Perm(len(c.d.hosts)) {
		addresses, ttl, err := c.d.resolve(c.d.hosts[i], c.zone)
		if err != nil {
			continue
		}
		if c.patient {
			ttl *= 3
		}
		c.addresses, c.until = addresses, time.Now().Add(ttl)
		break
	}
	for _, a := range c.addresses {
		if a == c.address {
			return
		}
	}
	c.disconnect()
}

// connect opens a connection to one of the addresses.
func (c *consumer) connect() bool {
	for _, i := range rand.Perm(len(c.addresses)) {
		conn, err := dial(c.addresses[i])
		if err == nil {
			c.conn, c.address = conn, c.addresses[i]
			return true
		}
	}
	return false
}

func (c *consumer) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.address = nil, ""
}

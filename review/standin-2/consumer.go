//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	// maxDirectories is the number of directories that a consumer asks, each for at most
	// directoryTimeout.
	maxDirectories   = 3
	directoryTimeout = time.Second
	// connectTimeout bounds the time to open a connection to an address.
	connectTimeout = time.Second
	// maxTTL bounds the time for which an answer of a directory is kept.
	maxTTL = 5 * time.Second
)

// resolveAnswer is an answer of a directory.
type resolveAnswer struct {
	Addresses []string `json:"addrs"`
	TTLS      float64  `json:"ttl_s"`
}

// consumer is a stand-in for a consumer in a zone.
type consumer struct {
	name, zone string
	d          *deployment
	client     *http.Client
	addresses  []string
	expires    time.Time
	failed     map[string]bool
	// onResolve is called with each answer of a directory.
	onResolve func(at time.Time, from *host, a resolveAnswer)
	// onSend is called with the ID of each attempt that is sent.
	onSend func(id string, at time.Time)
}

func newConsumer(d *deployment, name, zone string) *consumer {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &consumer{
		name: name, zone: zone, d: d, failed: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
}

// resolve asks up to maxDirectories directories, those of the consumer's own zone first, and
// keeps the answer for its time.
func (c *consumer) resolve() {
	if time.Now().Before(c.expires) {
		return
	}
	asked := 0
	for _, h := range c.nearest() {
		if asked++; asked > maxDirectories {
			return
		}
		a, err := c.ask(h)
		if err != nil {
			continue
		}
		now := time.Now()
		if c.onResolve != nil {
			c.onResolve(now, h, a)
		}
		c.addresses, c.failed = a.Addresses, map[string]bool{}
		c.expires = now.Add(min(maxTTL, time.Duration(a.TTLS*float64(time.Second))))
		return
	}
}

// nearest returns the hosts that serve as directories, those of the consumer's zone first,
// in random order otherwise.
func (c *consumer) nearest() []*host {
	var near, far []*host
	for _, i := range rand.Perm(len(c.d.hosts)) {
		h := c.d.hosts[i]
		if h.zone == c.zone {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return append(near, far...)
}

func (c *consumer) ask(h *host) (resolveAnswer, error) {
	var a resolveAnswer
	ctx, cancel := context.WithTimeout(context.Background(), directoryTimeout)
	defer cancel()
	q := url.Values{"name": {consumerHost}, "region": {region}, "zone": {c.zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.directory()+"/v1/resolve?"+q.Encode(), nil)
	if err != nil {
		return a, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return a, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a, fmt.Errorf("status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		return a, err
	}
	if len(a.Addresses) == 0 {
		return a, fmt.Errorf("no addresses")
	}
	return a, nil
}

// pick returns a random address that has not failed the consumer, or "".
func (c *consumer) pick() string {
	var usable []string
	for _, a := range c.addresses {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// newID returns the ID of a new attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// outcome is how an attempt of a consumer ended.
type outcome struct {
	id, address string
	status      int
	retryAfter  time.Duration
	err         error
	body        []byte
	header      http.Header
}

// attempt sends one attempt to an address.
func (c *consumer) attempt(address, method, path string, timeout time.Duration, body io.Reader) outcome {
	o := outcome{id: newID(), address: address}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		o.err = err
		return o
	}
	r.Host = consumerHost
	r.Header.Set("X-Request-Id", o.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if c.onSend != nil {
		c.onSend(o.id, time.Now())
	}
	response, err := c.client.Do(r)
	if err != nil {
		o.err = err
		return o
	}
	defer response.Body.Close()
	o.status, o.header = response.StatusCode, response.Header
	o.body, o.err = io.ReadAll(response.Body)
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(s * float64(time.Second))
	}
	return o
}

// String returns the outcome as it is recorded.
func (o outcome) String() string {
	if o.err != nil {
		return "no answer: " + o.err.Error()
	}
	return strconv.Itoa(o.status)
}

// request sends a request, and again up to retries times while its time limit allows.
func (c *consumer) request(path string, timeout time.Duration, retries int) {
	deadline := time.Now().Add(timeout)
	for n := 0; n <= retries; n++ {
		c.resolve()
		address := c.pick()
		left := time.Until(deadline)
		if address == "" || left <= 0 {
			c.d.record.add("%s: no address to use", c.name)
			return
		}
		sent := time.Now()
		o := c.attempt(address, http.MethodGet, path, left, nil)
		c.d.record.addAt(sent, "%s sends %s %s to %s: %s", c.name, o.id, path, address, o)
		if o.err == nil && o.status == http.StatusOK {
			return
		}
		if o.err != nil {
			c.failed[address] = true
		}
		if o.retryAfter > 0 {
			time.Sleep(min(o.retryAfter, time.Until(deadline)/3))
		}
	}
}

// run sends a request each period until stop is closed.
func (c *consumer) run(stop <-chan struct{}, path string, timeout time.Duration, retries int, period time.Duration) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.request(path, timeout, retries)
		case <-stop:
			return
		}
	}
}

//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// hostName is the name of the consumers' host in the manifest.
const hostName = "pupu76.example"

// answer is what a consumer got for an attempt. The status is 0 if the connection ended without
// an answer.
type answer struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error
	took   time.Duration
	sentAt time.Time
}

// client is a stand-in for the consumers.
type client struct {
	journal *journal
	http    *http.Client
	number  atomic.Int64
}

// newClient returns a client that keeps its connections open if keep is set.
func newClient(j *journal, keep bool) *client {
	return &client{journal: j, http: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: !keep, DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	}}}
}

// send sends one attempt to a machine and records it.
func (c *client) send(ctx context.Context, m *machine, method, path string, body []byte, limit time.Duration) answer {
	return c.sendKnown(ctx, m, method, path, body, limit, func(string) {})
}

// sendKnown is send that tells the ID of the attempt before it is sent.
func (c *client) sendKnown(ctx context.Context, m *machine, method, path string, body []byte, limit time.Duration, tell func(id string)) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", c.number.Add(1), time.Now().UnixNano()&0xffffffff), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, limit+3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front()+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = hostName
	r.Header.Set("X-Request-Id", a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	tell(a.id)
	c.journal.sent(a.id, m.name, method, path)
	response, err := c.http.Do(r)
	if err == nil {
		a.status, a.header = response.StatusCode, response.Header
		a.body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.err, a.took = err, time.Since(a.sentAt)
	if err != nil {
		a.status = 0
	}
	c.journal.note("answer %s from %s: status %d, %d bytes, %d ms, stamp %q, missing %q, error %v", a.id, m.name, a.status, len(a.body),
		a.took.Milliseconds(), a.header.Get("X-Response-Stamp"), a.header.Get("X-Missing-Parts"), err)
	return a
}

// isReady asks a machine whether it is ready.
func isReady(m *machine) bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + m.ready() + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// partStamps returns the stamps that a merged answer names.
func partStamps(h http.Header) []string {
	var all []string
	for _, line := range h.Values("X-Part-Stamps") {
		for _, s := range strings.Split(line, ",") {
			if s = strings.TrimSpace(s); s != "" {
				all = append(all, s)
			}
		}
	}
	return all
}

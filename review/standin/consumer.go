//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// hostname is the name under which the routes are reached.
const hostname = "pupu76.example"

// attempt is one consumer attempt: a request with an id of its own, and its result.
type attempt struct {
	id     string
	front  string
	sentAt time.Time
	// writtenAt is when the last byte of the request was written; zero if it was not.
	writtenAt time.Time
	endedAt   time.Time
	status    int
	header    http.Header
	body      []byte
	// last is set if the host closes the connection after the answer.
	last bool
	err  error
}

// newID returns the id of a consumer attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// connection is a connection of a consumer to a host.
type connection struct {
	net.Conn
	in *bufio.Reader
}

// dial opens a connection. Consumers allow one second for it.
func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// send sends a request on a connection and waits for the answer until the time limit.
func (c *connection) send(method, path string, body []byte, limit time.Duration) *attempt {
	a := &attempt{id: newID(), sentAt: time.Now(), front: c.RemoteAddr().String()}
	defer func() { a.endedAt = time.Now() }()
	_ = c.SetDeadline(a.sentAt.Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, hostname, a.id, limit.Milliseconds())
	if method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, a.err = c.Write(b.Bytes()); a.err != nil {
		return a
	}
	a.writtenAt = time.Now()
	r, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = r.Body.Close() }()
	a.status, a.header, a.last = r.StatusCode, r.Header, r.Close
	a.body, a.err = io.ReadAll(r.Body)
	return a
}

// closes reports whether the connection must not be used again after the attempt.
func (a *attempt) closes() bool {
	return a.err != nil || a.last
}

// retryAfter returns the time that the answer asks the consumer to wait.
func (a *attempt) retryAfter() time.Duration {
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// promise reports whether a status promises that the request has not run and will not run.
func promise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps it for the check.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	began   time.Time
	runs    map[string][]string
	refusal map[string]int
	// bodies holds the bodies of the answers of backends by the request's id and MAC.
	bodies map[[2]string][]byte
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now(), runs: map[string][]string{}, refusal: map[string]int{}, bodies: map[[2]string][]byte{}}, nil
}

// write appends a line.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, values...)
}

func (r *record) line(format string, values ...any) {
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, values...)
	fmt.Fprintln(r.out)
}

// ran records that a backend began to work on a request and returns the MAC of its answer.
func (r *record) ran(id, backend, method, uri string, body []byte) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], backend)
	r.line("backend %s runs %s (%s %s, %d bytes), run %d of this id", backend, id, method, uri, len(body), len(r.runs[id]))
	return fmt.Sprintf("%s.%d.%08x", id, len(r.runs[id]), rand.Uint32())
}

// answered records the body of a backend's answer.
func (r *record) answered(id, mac string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies[[2]string{id, mac}] = body
}

// bodyOf returns the body of the backend's answer with the MAC.
func (r *record) bodyOf(id, mac string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, ok := r.bodies[[2]string{id, mac}]
	return body, ok
}

// refused records that a backend turned a request away without running it.
func (r *record) refused(id, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusal[id]++
	r.line("backend %s turns %s away, not run", backend, id)
}

// ranOn returns the backends on which a request has run.
func (r *record) ranOn(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// run is one run of a request at a backend.
type run struct {
	id      string
	at      time.Time
	backend *backend
}

// journal records what was sent, answered and run.
type journal struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs map[string][]run
	// machines are the machines that got the requests, by the IDs of these.
	machines map[string]string
}

// newJournal creates the record file.
func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{startedAt: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]run{}, machines: map[string]string{}}, nil
}

// note adds a line.
func (j *journal) note(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.line(format, args...)
}

// line adds a line. The journal is locked.
func (j *journal) line(format string, args ...any) {
	_, _ = fmt.Fprintf(j.out, "%8.3f ", time.Since(j.startedAt).Seconds())
	_, _ = fmt.Fprintf(j.out, format+"\n", args...)
}

// ran records that a backend runs a request.
func (j *journal) ran(id string, b *backend, method, uri string, body []byte) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[id] = append(j.runs[id], run{id, time.Now(), b})
	j.line("run %s at %s of %s: %s %s, body of %d bytes", id, b.id, b.service, method, uri, len(body))
}

// runsOf returns the runs of a request.
func (j *journal) runsOf(id string) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]run(nil), j.runs[id]...)
}

// runsAt returns the runs at a backend.
func (j *journal) runsAt(b *backend) []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	var all []run
	for _, runs := range j.runs {
		for _, r := range runs {
			if r.backend == b {
				all = append(all, r)
			}
		}
	}
	sort.Slice(all, func(x, y int) bool { return all[x].at.Before(all[y].at) })
	return all
}

// sent records that a request is sent to a machine.
func (j *journal) sent(id, machine, method, path string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.machines[id] = machine
	j.line("send %s to %s: %s %s", id, machine, method, path)
}

// machineOf returns the name of the machine to which a request was sent.
func (j *journal) machineOf(id string) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.machines[id]
}

// close writes the file to its end.
func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	_ = j.out.Flush()
	_ = j.file.Close()
}

//go:build review2

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are in seconds since
// the start of the traffic. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	began  time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, writer: bufio.NewWriter(f), began: time.Now()}, nil
}

// at returns the time in seconds since the start of the traffic.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// add writes a line with the current time.
func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

// addAt writes a line with a time.
func (r *record) addAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f s  %s\n", r.at(t), fmt.Sprintf(format, args...))
}

// close writes what is buffered and closes the file.
func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

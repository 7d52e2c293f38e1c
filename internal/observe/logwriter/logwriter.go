// Package logwriter writes log lines without ever holding up whoever logs: lines
// wait in a bounded ring and are written by a goroutine of their own. What does
// not fit, or goes beyond the lines allowed in a second, is counted, and a later
// line says how many were left out.
package logwriter

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"fescuerill/ring"
)

const (
	// linesMost is the number of lines that wait to be written.
	linesMost = 2048
	// LinesPerSecond is the number of lines written in a second.
	LinesPerSecond = 150
	// burst is the number of lines that may be written at once.
	burst = 600
)

// Writer takes lines and writes them later. New makes one. Its methods may be
// called from several goroutines.
type Writer struct {
	out     io.Writer
	lines   ring.Ring[[]byte]
	mu      sync.Mutex
	room    float64
	filled  time.Time
	left    atomic.Int64
	leftAll atomic.Int64
}

// New returns a writer to out. Run it in one goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, room: burst, filled: time.Now()}
	w.lines.Reset(linesMost)
	return w
}

// Write implements io.Writer. It takes one line and never waits for out.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) || !w.lines.Push(append([]byte(nil), line...)) {
		w.left.Add(1)
		w.leftAll.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.room = min(burst, w.room+now.Sub(w.filled).Seconds()*LinesPerSecond)
	w.filled = now
	if w.room < 1 {
		return false
	}
	w.room--
	return true
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.leftAll.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.lines.Ready():
			w.flush()
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	var all []byte
	for _, line := range w.lines.Drain(nil) {
		all = append(all, line...)
	}
	if n := w.left.Swap(0); n > 0 {
		all = fmt.Appendf(all, "time=%s level=WARN msg=\"log lines left out\" lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
	if _, err := w.out.Write(all); err != nil {
		w.leftAll.Add(1)
	}
}

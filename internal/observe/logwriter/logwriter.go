// Package logwriter writes log lines without blocking the caller: lines are queued in a
// bounded ring and written by a separate goroutine. Lines that do not fit or exceed the
// rate limit are dropped and counted, and a later line says how many were.
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
	// maxQueued is the maximum number of lines in the queue.
	maxQueued = 2048
	// LinesPerSecond is the maximum number of lines per second after a burst.
	LinesPerSecond = 150
	// burst is the number of lines that are accepted at once, the capacity of the token
	// bucket of a Writer.
	burst = 600
)

// Writer queues lines and writes them asynchronously. New creates one. Its methods are
// safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines ring.Ring[[]byte]
	mu    sync.Mutex
	// tokens is the number of lines that the rate limit allows now.
	tokens       float64
	refilledAt   time.Time
	dropped      atomic.Int64
	droppedTotal atomic.Int64
}

// New returns a writer to out. Run must be called once, in its own goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, tokens: burst, refilledAt: time.Now()}
	w.lines.Reset(maxQueued)
	return w
}

// Write implements io.Writer. It queues or drops one line and never waits for out.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow(time.Now()) || !w.lines.Push(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		w.droppedTotal.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = min(burst, w.tokens+now.Sub(w.refilledAt).Seconds()*LinesPerSecond)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of lines that were dropped, plus one for each write to out that
// failed.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Run writes lines until ctx ends, and then those that are still queued.
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
	if n := w.dropped.Swap(0); n > 0 {
		all = fmt.Appendf(all, "time=%s level=WARN msg=\"log lines left out\" lines=%d\n", time.Now().Format(time.RFC3339Nano), n)
	}
	if _, err := w.out.Write(all); err != nil {
		w.droppedTotal.Add(1)
	}
}

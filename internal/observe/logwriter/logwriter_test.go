package logwriter_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/observe/logwriter"
)

// buffer is a destination that several goroutines use.
type buffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestBoundsTheLinesOfASecondAndSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var out buffer
		w := logwriter.New(&out)
		go w.Run(ctx)
		log := slog.New(slog.NewTextHandler(w, nil))
		for range 60 {
			for range 1000 {
				log.Info("line")
			}
			time.Sleep(time.Second)
		}
		cancel()
		synctest.Wait()
		written := strings.Count(out.String(), "msg=line")
		assert.LessOrEqual(t, written, 61*logwriter.LinesPerSecond+600)
		assert.GreaterOrEqual(t, written, 59*logwriter.LinesPerSecond)
		assert.Equal(t, int64(60_000-written), w.Dropped())
		assert.Contains(t, out.String(), "log lines left out")
	})
}

func TestStalledReaderHoldsUpNobody(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	r, stalled := io.Pipe()
	w := logwriter.New(stalled)
	done := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(done)
	}()
	log := slog.New(slog.NewTextHandler(w, nil))
	began := time.Now()
	for range 20_000 {
		log.Info("line")
	}
	assert.Less(t, time.Since(began), 5*time.Second)
	assert.Positive(t, w.Dropped())
	cancel()
	_ = r.Close()
	<-done
}

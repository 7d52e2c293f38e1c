package exchange_test

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// memoryLimit is the least limit that a pool accepts.
const memoryLimit = 32 << 20

// TestEndlessAnswersLeaveRoomToOthers lets many targets send bytes without end over many
// connections at once. One answer is bounded, but their sum would fill the memory of a host.
// The answers of a target in good health must still be read.
func TestEndlessAnswersLeaveRoomToOthers(t *testing.T) {
	const targets, conns = 10, 6
	for name, beginning := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nLong: ",
		"body": "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			p.SetMemoryLimit(memoryLimit)
			ctx, cancel := context.WithCancel(t.Context())
			var flood sync.WaitGroup
			for n := range targets {
				target, _ := startEndlessTarget(t, beginning, "x")
				target.ID = fmt.Sprint("endless-", n)
				p.SetMaxConns(target.ID, conns)
				for range conns {
					flood.Go(func() {
						for ctx.Err() == nil {
							got := p.Do(ctx, target, newRequest("1"), oneSecond)
							assert.NotEqual(t, search.Good, got.Outcome)
						}
					})
				}
			}
			s := startTarget(t, goodAnswer)
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				req := newRequest("2")
				got := p.Do(t.Context(), s.target(), req, func() time.Duration { return 10 * time.Second })
				assert.Equal(t, search.Good, got.Outcome, got.Reason)
				req.End()
			}
			cancel()
			flood.Wait()
			assert.Positive(t, p.PeakMemory())
			assert.Less(t, p.PeakMemory(), int64(memoryLimit))
			assert.Zero(t, p.HeldMemory(), "all memory is released")
		})
	}
}

// TestAnswersHoldMemoryUntilRequestEnds checks which replies hold memory after they were
// received, and that none does once its request has ended.
func TestAnswersHoldMemoryUntilRequestEnds(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"
	const failure = "HTTP/1.1 500 Broken\r\nId: ID\r\nStamp: s\r\nContent-Length: 4\r\n\r\noops"
	long := "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n0\r\n\r\n"
	tests := map[string]struct {
		answer    string
		part      bool
		min, body int
	}{
		"good":         {goodAnswer, false, 4, 4},
		"good part":    {goodAnswer, true, 4, 4},
		"long":         {long, false, 0x30000, 0x30000},
		"failure":      {failure, false, 4, 4},
		"failed part":  {failure, true, 0, 0},
		"refusal":      {refusal, false, 0, 0},
		"cut":          {cutMark + "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 9\r\n\r\nbody", false, 0, 0},
		"skipped":      {mismatchedAnswer + goodAnswer, true, 4, 4},
		"other format": {"garbage\r\n\r\n", false, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startTarget(t, test.answer)
			p := newPool()
			req := newRequest("1")
			req.IsPart = test.part
			got := p.Do(t.Context(), s.target(), req, oneSecond)
			assert.Len(t, got.Body, test.body)
			if test.part {
				assert.Equal(t, int64(test.min), p.HeldMemory())
				assert.Nil(t, got.Header)
			}
			assert.GreaterOrEqual(t, p.HeldMemory(), int64(test.min))
			assert.Equal(t, test.min > 0, p.HeldMemory() > 0)
			req.End()
			assert.Zero(t, p.HeldMemory())
			late := p.Do(t.Context(), s.target(), req, oneSecond)
			assert.Empty(t, late.Body, "a reply to a request that has ended is dropped")
			assert.Zero(t, p.HeldMemory())
		})
	}
}

// TestHeadOfShortFieldsHoldsWhatItTakes keeps answers whose heads have as many fields as the
// longest head holds. Parsed, such a head takes many times its length.
func TestHeadOfShortFieldsHoldsWhatItTakes(t *testing.T) {
	const answers = 40
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: 0\r\n")
	for n := 0; head.Len() < 60<<10; n++ {
		for _, digit := range []int{n, n / len(letters), n / len(letters) / len(letters)} {
			head.WriteByte(letters[digit%len(letters)])
		}
		head.WriteString(":\n")
	}
	s := startTarget(t, head.String()+"\r\n")
	p := newPool()
	p.SetMemoryLimit(1 << 30)
	var before, after runtime.MemStats
	var kept []exchange.Reply
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range answers {
		got := p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 10 * time.Second })
		require.Equal(t, search.Good, got.Outcome, got.Reason)
		kept = append(kept, got)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), p.HeldMemory()+p.HeldMemory()/20)
	runtime.KeepAlive(kept)
}

// TestLongestAnswerFitsIntoLeastMemory reads an answer of the longest length that is accepted
// with the least limit.
func TestLongestAnswerFitsIntoLeastMemory(t *testing.T) {
	body := strings.Repeat("x", 8<<20)
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\n"
	s := startTarget(t,
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
	)
	p := newPool()
	p.SetMemoryLimit(1)
	for range 2 {
		req := newRequest("1")
		got := p.Do(t.Context(), s.target(), req, func() time.Duration { return 10 * time.Second })
		require.Equal(t, search.Good, got.Outcome, got.Err)
		assert.Len(t, got.Body, len(body))
		req.End()
	}
	assert.Zero(t, p.HeldMemory())
}

// TestAnswerWithoutRoomEndsTheAttempt keeps long answers of one target until there is no room
// for another. That one must end with its reason, as a request that may have run.
func TestAnswerWithoutRoomEndsTheAttempt(t *testing.T) {
	body := strings.Repeat("x", 4<<20)
	s := startTarget(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	p := newPool()
	p.SetMemoryLimit(memoryLimit)
	var kept []*exchange.Request
	var got exchange.Reply
	for n := 0; n < 10 && got.Outcome == search.Good; n++ {
		req := newRequest("1")
		got = p.Do(t.Context(), s.target(), req, func() time.Duration { return 10 * time.Second })
		kept = append(kept, req)
	}
	assert.Equal(t, search.Unknown, got.Outcome)
	assert.Equal(t, "no-room", got.Reason)
	for _, req := range kept {
		req.End()
	}
	got = p.Do(t.Context(), s.target(), newRequest("1"), func() time.Duration { return 10 * time.Second })
	assert.Equal(t, search.Good, got.Outcome, got.Reason)
}

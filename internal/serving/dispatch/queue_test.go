package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/dispatch"
)

var start = time.Unix(1_700_000_000, 0)

// newQueue returns a queue that allows one request in flight.
func newQueue() *dispatch.Queue[string] {
	var q dispatch.Queue[string]
	q.Reset(1)
	return &q
}

func TestQueueSendsNewestFirstAndDropsExpired(t *testing.T) {
	q := newQueue()
	assert.True(t, q.Enter("a", start.Add(time.Second)))
	assert.True(t, q.Full())
	assert.False(t, q.Enter("b", start.Add(time.Second)))
	assert.False(t, q.Enter("c", start.Add(time.Second)))
	assert.False(t, q.Enter("d", start.Add(time.Millisecond)))
	_, ok := q.Next(start)
	assert.False(t, ok, "none is sent before another one ends")
	q.Leave(start, true, 0.1)
	got, ok := q.Next(start.Add(2 * time.Millisecond))
	assert.True(t, ok)
	assert.Equal(t, "c", got, "d has expired")
	assert.Equal(t, 1, q.InFlight())
	assert.Equal(t, 1, q.Waiting())
}

func TestQueueRemove(t *testing.T) {
	q := newQueue()
	q.Enter("a", start)
	q.Enter("b", start.Add(time.Second))
	assert.True(t, q.Remove("b"))
	assert.False(t, q.Remove("b"))
	assert.False(t, q.Remove("a"), "a is in flight")
	q.Leave(start, false, 0)
	_, ok := q.Next(start)
	assert.False(t, ok)
	assert.Zero(t, q.InFlight())
}

func TestQueueCapacity(t *testing.T) {
	q := newQueue()
	q.SetCapacity(0)
	assert.True(t, q.Enter("a", start), "one request is always sent")
	assert.False(t, q.Enter("b", start.Add(time.Second)))
	q.SetCapacity(2)
	got, ok := q.Next(start)
	assert.True(t, ok)
	assert.Equal(t, "b", got)
}

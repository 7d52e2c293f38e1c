package target

import (
	"container/heap"
	"time"
)

// Queue holds what waits for a target, earliest deadline first. The zero value
// holds nothing; Reset gives it room.
type Queue[T any] struct {
	items        itemHeap[T]
	capacity     int
	lastSequence uint64
}

type queueItem[T any] struct {
	deadline time.Time
	sequence uint64
	value    T
}

// Reset empties the queue and sets the number of values it holds.
func (q *Queue[T]) Reset(capacity int) {
	clear(q.items)
	q.items = q.items[:0]
	q.capacity = capacity
}

// Len returns the number of values that wait.
func (q *Queue[T]) Len() int { return len(q.items) }

// Offer puts a value in the queue. It returns ErrTooLate when the value could
// not be served by its deadline after the given wait, and ErrFull when there
// is no room.
func (q *Queue[T]) Offer(now, deadline time.Time, wait time.Duration, v T) error {
	if !now.Add(wait).Before(deadline) {
		return ErrTooLate
	}
	if len(q.items) >= q.capacity {
		return ErrFull
	}
	q.lastSequence++
	heap.Push(&q.items, queueItem[T]{deadline, q.lastSequence, v})
	return nil
}

// Take appends to dst at most n values whose deadline is after by, and to late
// the values met whose deadline is not. Both are taken out of the queue.
func (q *Queue[T]) Take(dst, late []T, by time.Time, n int) (taken, expired []T) {
	for n > 0 && len(q.items) > 0 {
		w := heap.Pop(&q.items).(queueItem[T])
		if !w.deadline.After(by) {
			late = append(late, w.value)
			continue
		}
		dst = append(dst, w.value)
		n--
	}
	return dst, late
}

// Next returns the earliest deadline, or the zero time when nothing waits.
func (q *Queue[T]) Next() time.Time {
	if len(q.items) == 0 {
		return time.Time{}
	}
	return q.items[0].deadline
}

// Remove takes out all values that drop accepts, and returns how many.
func (q *Queue[T]) Remove(drop func(T) bool) int {
	kept := q.items[:0]
	for _, w := range q.items {
		if !drop(w.value) {
			kept = append(kept, w)
		}
	}
	n := len(q.items) - len(kept)
	clear(q.items[len(kept):])
	q.items = kept
	heap.Init(&q.items)
	return n
}

type itemHeap[T any] []queueItem[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].sequence < h[j].sequence
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[T]) Push(v any) { *h = append(*h, v.(queueItem[T])) }

func (h *itemHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = queueItem[T]{}
	*h = old[:len(old)-1]
	return last
}

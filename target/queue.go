package target

import (
	"container/heap"
	"time"
)

// Queue holds values that wait for a target, earliest deadline first. The zero value
// has no capacity; Reset sets it.
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

// Reset empties the queue and sets the number of values that it holds.
func (q *Queue[T]) Reset(capacity int) {
	clear(q.items)
	q.items = q.items[:0]
	q.capacity = capacity
}

// Len returns the number of values in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }

// Offer adds a value to the queue. It returns ErrTooLate when the value would not be
// served before its deadline after the given wait, and ErrQueueFull when the queue is
// full.
func (q *Queue[T]) Offer(now, deadline time.Time, wait time.Duration, v T) error {
	if !now.Add(wait).Before(deadline) {
		return ErrTooLate
	}
	if len(q.items) >= q.capacity {
		return ErrQueueFull
	}
	q.lastSequence++
	heap.Push(&q.items, queueItem[T]{deadline, q.lastSequence, v})
	return nil
}

// Take removes values in order of their deadlines until it has n whose deadline is after
// by. It appends these to dst and the others that it removes to late.
func (q *Queue[T]) Take(dst, late []T, by time.Time, n int) (taken, tooLate []T) {
	for n > 0 && len(q.items) > 0 {
		item := heap.Pop(&q.items).(queueItem[T])
		if !item.deadline.After(by) {
			late = append(late, item.value)
			continue
		}
		dst = append(dst, item.value)
		n--
	}
	return dst, late
}

// EarliestDeadline returns the earliest deadline, or the zero time when the queue is
// empty.
func (q *Queue[T]) EarliestDeadline() time.Time {
	if len(q.items) == 0 {
		return time.Time{}
	}
	return q.items[0].deadline
}

// RemoveFunc removes all values that drop accepts and returns their number.
func (q *Queue[T]) RemoveFunc(drop func(T) bool) int {
	kept := q.items[:0]
	for _, item := range q.items {
		if !drop(item.value) {
			kept = append(kept, item)
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

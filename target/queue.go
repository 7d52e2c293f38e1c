package target

import (
	"container/heap"
	"time"
)

// Queue holds what waits for a target, earliest deadline first. The zero value
// holds nothing; Reset gives it room.
type Queue[T any] struct {
	waiting  waitingHeap[T]
	capacity int
	order    uint64
}

type waiting[T any] struct {
	deadline time.Time
	order    uint64
	value    T
}

// Reset empties the queue and sets the number of values it holds.
func (q *Queue[T]) Reset(capacity int) {
	clear(q.waiting)
	q.waiting = q.waiting[:0]
	q.capacity = capacity
}

// Len returns the number of values that wait.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Offer puts a value in the queue. It returns ErrTooLate when the value could
// not be served by its deadline after the given wait, and ErrFull when there
// is no room.
func (q *Queue[T]) Offer(now, deadline time.Time, wait time.Duration, v T) error {
	if !now.Add(wait).Before(deadline) {
		return ErrTooLate
	}
	if len(q.waiting) >= q.capacity {
		return ErrQueueFull
	}
	q.order++
	heap.Push(&q.waiting, waiting[T]{deadline, q.order, v})
	return nil
}

// Take appends to dst at most n values whose deadline is after by, and to late
// the values met whose deadline is not. Both are taken out of the queue.
func (q *Queue[T]) Take(dst, late []T, by time.Time, n int) (taken, expired []T) {
	for n > 0 && len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(waiting[T])
		if !w.deadline.After(by) {
			late = append(late, w.value)
			continue
		}
		dst = append(dst, w.value)
		n--
	}
	return dst, late
}

// EarliestDeadline returns the earliest deadline, or the zero time when nothing waits.
func (q *Queue[T]) EarliestDeadline() time.Time {
	if len(q.waiting) == 0 {
		return time.Time{}
	}
	return q.waiting[0].deadline
}

// RemoveFunc takes out all values that drop accepts, and returns how many.
func (q *Queue[T]) RemoveFunc(drop func(T) bool) int {
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if !drop(w.value) {
			kept = append(kept, w)
		}
	}
	n := len(q.waiting) - len(kept)
	clear(q.waiting[len(kept):])
	q.waiting = kept
	heap.Init(&q.waiting)
	return n
}

type waitingHeap[T any] []waiting[T]

func (h waitingHeap[T]) Len() int { return len(h) }

func (h waitingHeap[T]) Less(i, j int) bool {
	if !h[i].deadline.Equal(h[j].deadline) {
		return h[i].deadline.Before(h[j].deadline)
	}
	return h[i].order < h[j].order
}

func (h waitingHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *waitingHeap[T]) Push(v any) { *h = append(*h, v.(waiting[T])) }

func (h *waitingHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = waiting[T]{}
	*h = old[:len(old)-1]
	return last
}

package dispatch

import (
	"slices"
	"time"

	"fescuerill/admission"
)

const (
	// maxInFlight bounds the number of requests in flight to a target, and
	// decreaseInterval is the minimum time between two reductions of the limit.
	maxInFlight      = 32
	decreaseInterval = 50 * time.Millisecond
	// lateFraction is the fraction of its time from which a request lowers the limit. It is
	// high because a slow target may take most of the time without any queue.
	lateFraction = 0.9
	// maxTimeFraction bounds the fraction that the limiter gets to see of the other requests.
	// It neither lowers nor raises the limit.
	maxTimeFraction = 0.6
)

// Queue limits the requests in flight to a target and holds those that wait. The limit
// follows the fraction of their time that requests take at the target. Without it, a
// target that is too slow for its load answers nothing in time: it serves requests in the
// order of their arrival, so that each of them starts when its time is nearly over.
//
// Of the requests that wait, the one that arrived last is sent first, since it has the
// most time left; those that arrived before it wait until their time is over. Call Reset
// before use. A Queue is not safe for concurrent use.
type Queue[T comparable] struct {
	limiter  admission.Limiter
	capacity int
	inFlight int
	waiting  []waiter[T]
}

// waiter is a request that waits.
type waiter[T comparable] struct {
	value     T
	expiresAt time.Time
}

// Reset empties the queue and sets the maximum number of requests in flight, at least 1,
// which applies besides the limit that follows the target.
func (q *Queue[T]) Reset(capacity int) {
	*q = Queue[T]{}
	q.limiter.Reset(maxInFlight, decreaseInterval)
	q.SetCapacity(capacity)
}

// SetCapacity changes the maximum number of requests in flight; it is at least 1.
func (q *Queue[T]) SetCapacity(capacity int) { q.capacity = max(1, capacity) }

// Full reports whether another request would have to wait.
func (q *Queue[T]) Full() bool {
	return q.inFlight >= min(q.capacity, q.limiter.Limit())
}

// InFlight returns the number of requests in flight.
func (q *Queue[T]) InFlight() int { return q.inFlight }

// Waiting returns the number of requests that wait.
func (q *Queue[T]) Waiting() int { return len(q.waiting) }

// Enter reports whether a request can be sent now. If it cannot, its value waits until
// Next returns it, or until expiresAt.
func (q *Queue[T]) Enter(value T, expiresAt time.Time) bool {
	if q.Full() {
		q.waiting = append(q.waiting, waiter[T]{value, expiresAt})
		return false
	}
	q.start()
	return true
}

func (q *Queue[T]) start() {
	q.inFlight++
	q.limiter.TryAcquire()
}

// Next returns the value of the request to send next, and false if none waits or can be
// sent now. It drops requests that have expired.
func (q *Queue[T]) Next(now time.Time) (T, bool) {
	for len(q.waiting) > 0 && !q.Full() {
		last := len(q.waiting) - 1
		w := q.waiting[last]
		q.waiting = q.waiting[:last]
		if now.Before(w.expiresAt) {
			q.start()
			return w.value, true
		}
	}
	var none T
	return none, false
}

// Remove removes a request that waits and reports whether it still did.
func (q *Queue[T]) Remove(value T) bool {
	i := slices.IndexFunc(q.waiting, func(w waiter[T]) bool { return w.value == value })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// RemoveAll removes the requests that wait and returns their values.
func (q *Queue[T]) RemoveAll() []T {
	values := make([]T, 0, len(q.waiting))
	for _, w := range q.waiting {
		values = append(values, w.value)
	}
	q.waiting = q.waiting[:0]
	return values
}

// Leave ends a request in flight that took a fraction of its time at the target, and adjusts
// the limit. A request that was not answered counts only if its time was nearly over: other
// failures say nothing about the load of the target.
func (q *Queue[T]) Leave(now time.Time, answered bool, fraction float64) {
	q.inFlight--
	late := fraction >= lateFraction
	if !answered && !late {
		q.limiter.Cancel()
		return
	}
	q.limiter.Release(now, admission.Result{TimeFraction: min(fraction, maxTimeFraction), LostParts: late})
}

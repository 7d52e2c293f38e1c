package ring

import "sync"

// DefaultCapacity is the number of values that a zero Ring holds.
const DefaultCapacity = 4096

// Ring is a bounded first-in first-out queue. The zero value holds DefaultCapacity
// values. A Ring is safe for concurrent use.
type Ring[T any] struct {
	mu       sync.Mutex
	values   []T
	capacity int
	ready    chan struct{}
}

// Reset empties the ring and sets the number of values that it holds. It panics with
// ErrCapacity when capacity is not positive.
func (r *Ring[T]) Reset(capacity int) {
	if capacity <= 0 {
		panic(ErrCapacity)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values = r.values[:0]
	r.capacity = capacity
}

// Push adds a value at the end and reports whether there was room.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.capacity == 0 {
		r.capacity = DefaultCapacity
	}
	if len(r.values) >= r.capacity {
		return false
	}
	r.values = append(r.values, v)
	select {
	case r.readyLocked() <- struct{}{}:
	default:
	}
	return true
}

// Drain appends to dst all values in the ring, oldest first, and empties it.
func (r *Ring[T]) Drain(dst []T) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	dst = append(dst, r.values...)
	clear(r.values)
	r.values = r.values[:0]
	return dst
}

// Len returns the number of values in the ring.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.values)
}

// Ready returns a channel that is signalled after a Push. One signal may stand for
// several values, so the receiver must drain the ring each time.
func (r *Ring[T]) Ready() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readyLocked()
}

func (r *Ring[T]) readyLocked() chan struct{} {
	if r.ready == nil {
		r.ready = make(chan struct{}, 1)
	}
	return r.ready
}

package target

import "github.com/pkg/errors"

// Errors and panic values.
var (
	// ErrLimits is the panic value for a limit that is not positive.
	ErrLimits = errors.New("target: limit is not positive")
	// ErrQueueFull is returned for a part that finds the queue full.
	ErrQueueFull = errors.New("target: queue is full")
	// ErrTooLate is returned for a part that cannot make its deadline.
	ErrTooLate = errors.New("target: deadline cannot be met")
)

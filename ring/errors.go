package ring

import "github.com/pkg/errors"

// ErrCapacity is the panic value for a capacity that is not positive.
var ErrCapacity = errors.New("ring: capacity is not positive")

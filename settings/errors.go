package settings

import "github.com/pkg/errors"

// ErrUnknownPath is returned for a path that names no level of the tree.
var ErrUnknownPath = errors.New("settings: no level has this path")

func asError[T error](err error, out *T) bool { return errors.As(err, out) }

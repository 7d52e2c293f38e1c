package settings

import "github.com/pkg/errors"

// ErrUnknownPath is returned for a path that is not a level of the tree.
var ErrUnknownPath = errors.New("settings: unknown path")

func asError[T error](err error, out *T) bool { return errors.As(err, out) }

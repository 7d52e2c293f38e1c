package settings

import "github.com/pkg/errors"

// ErrUnknownPath is returned for a path that is not a level of the tree and for the
// name of a data centre that the tree does not list.
var ErrUnknownPath = errors.New("settings: no such level or data centre")

func asError[T error](err error, out *T) bool { return errors.As(err, out) }

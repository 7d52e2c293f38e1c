// Package invariant checks invariants at run time. A violation is counted and logged in
// production and panics in tests.
package invariant

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// Registry holds a counter for each invariant that has been violated, and one
// named "invariant-checks" for the number of checks.
var Registry = metrics.NewRegistry()

var checks = metrics.GetOrRegisterCounter("invariant-checks", Registry)

// Check checks that ok is true. The name of the invariant is in kebab case; details are
// key-value pairs as for slog. If ok is false, it panics in tests.
func Check(ok bool, name string, details ...any) {
	checks.Inc(1)
	if ok {
		return
	}
	metrics.GetOrRegisterCounter("violated-"+name, Registry).Inc(1)
	if testing.Testing() {
		panic(fmt.Sprint("invariant violated: ", name, " ", details))
	}
	slog.Error("invariant violated", append([]any{"name", name}, details...)...)
}

// Violations returns the number of violations of all invariants.
func Violations() int64 {
	var sum int64
	Registry.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && name != "invariant-checks" {
			sum += c.Count()
		}
	})
	return sum
}

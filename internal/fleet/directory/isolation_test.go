package directory_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

// TestIsolationDetector covers a data centre that is isolated for a while, and
// failures that must not be mistaken for isolation.
func TestIsolationDetector(t *testing.T) {
	type step struct {
		known, reachable int
		serving, want    bool
	}
	tests := map[string][]step{
		"isolated, later reconnected": {{5, 5, true, false}, {5, 0, true, false}, {5, 0, false, true}, {5, 0, true, true}, {5, 1, false, false}},
		"other data centres are down": {{5, 0, true, false}, {5, 0, true, false}},
		"targets are down everywhere": {{5, 4, false, false}},
		"only one data centre":        {{0, 0, false, false}},
	}
	for name, steps := range tests {
		var d directory.IsolationDetector
		for i, s := range steps {
			assert.Equal(t, s.want, d.Update(s.known, s.reachable, s.serving), "%s: step %d", name, i)
		}
	}
}

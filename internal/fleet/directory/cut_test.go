package directory_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/directory"
)

// TestCut replays a data centre that is cut off for a while, and others that only
// look like it.
func TestCut(t *testing.T) {
	type step struct {
		known, heard int
		able, want   bool
	}
	tests := map[string][]step{
		"cut off, later joined":       {{5, 5, true, false}, {5, 0, true, false}, {5, 0, false, true}, {5, 0, true, true}, {5, 1, false, false}},
		"the others died":             {{5, 0, true, false}, {5, 0, true, false}},
		"targets are down everywhere": {{5, 4, false, false}},
		"the only data centre":        {{0, 0, false, false}},
	}
	for name, steps := range tests {
		var c directory.IsolationDetector
		for i, s := range steps {
			assert.Equal(t, s.want, c.Update(s.known, s.heard, s.able), "%s: step %d", name, i)
		}
	}
}

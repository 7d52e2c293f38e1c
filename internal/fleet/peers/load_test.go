package peers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLoadOfADataCentreIsKnownToAllItsHosts has hosts tell their loads to their guide,
// which tells them the sum.
func TestLoadOfADataCentreIsKnownToAllItsHosts(t *testing.T) {
	all := fleet(t, 8)
	for i, m := range all {
		m.SetLoad(float64(10 * (i + 1)))
	}
	asks := func() {
		for _, m := range all {
			if m.HasReader() {
				_, err := m.FetchUpdate(t.Context(), 0, false)
				assert.NoError(t, err)
			}
		}
	}
	asks()
	asks()
	for i, m := range all {
		want := 10.0 + 30 + 50 + 70
		if i%2 == 1 {
			want = 20 + 40 + 60 + 80
		}
		got, ok := m.Load(time.Now())
		assert.True(t, ok)
		assert.InDelta(t, want, got, 0.001, "host %d", i)
	}
	for _, m := range all {
		if m.HasReader() {
			_, ok := m.Load(time.Now().Add(4 * time.Second))
			assert.False(t, ok, "what the guide told is old")
		}
	}
}

func TestLoadFallsSlowly(t *testing.T) {
	m := join(t, 1, "a")
	m.SetLoad(1000)
	m.SetLoad(0)
	got, ok := m.Load(time.Now())
	assert.True(t, ok)
	assert.InDelta(t, 900, got, 0.001)
}

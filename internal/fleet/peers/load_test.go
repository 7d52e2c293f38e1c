package peers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/feed"
)

// TestHostsKnowLoadOfTheirDataCentre has all hosts report their loads to their designated
// reader, which must reply with the sum for their data centre.
func TestHostsKnowLoadOfTheirDataCentre(t *testing.T) {
	all := startFleet(t, 8)
	for i, m := range all {
		m.SetLoad(float64(10 * (i + 1)))
	}
	fetchUpdates := func() {
		for _, m := range all {
			if m.HasReader() {
				_, err := m.FetchUpdate(t.Context(), feed.Request{})
				assert.NoError(t, err)
			}
		}
	}
	fetchUpdates()
	fetchUpdates()
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
			assert.False(t, ok, "the reported load is too old")
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

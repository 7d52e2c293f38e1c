package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/observe/explain"
)

func TestSumTrafficAddsHostsAndStarts(t *testing.T) {
	first := "time=2026-01-10T11:00:00Z level=INFO msg=traffic bytes-sent-probe-remote=10 store-calls-list=2\n" +
		"time=2026-01-10T11:00:05Z level=INFO msg=traffic bytes-sent-probe-remote=25 store-calls-list=2\n" +
		"time=2026-01-10T11:00:06Z level=INFO msg=started\n" +
		"time=2026-01-10T11:00:09Z level=INFO msg=traffic bytes-sent-probe-remote=5\n"
	second := "0.1 host-2 time=2026-01-10T11:00:01Z level=INFO msg=traffic bytes-sent-probe-remote=100 odd=x\n" +
		"0.2 host-3 time=2026-01-10T11:00:02Z level=INFO msg=traffic bytes-sent-probe-remote=30\n"
	got, err := explain.SumTraffic([]explain.Log{
		{Name: "a", Reader: strings.NewReader(first)}, {Name: "b", Reader: strings.NewReader(second)},
	})
	require.NoError(t, err)
	want := []explain.Count{
		{Name: "bytes-sent-probe-remote", Total: 160, Most: 100},
		{Name: "store-calls-list", Total: 2, Most: 2},
	}
	assert.Equal(t, want, got)
}

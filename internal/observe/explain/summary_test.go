package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/observe/explain"
)

func TestSummariseGroupsLossesByCause(t *testing.T) {
	const log = `
time=2026-07-04T07:36:26.020Z level=INFO msg=started host=a
time=2026-07-04T07:36:27.000Z level=INFO msg=request id=1 route=r outcome=merged reason="" took-ms=80 covered=18 parts=20 aim-ms=100 missing="1:s:unanswered-by=t-1 2:u:no-targets" sends=""
time=2026-07-04T07:36:27.100Z level=INFO msg=request id=2 route=r outcome=merged reason="" took-ms=140 covered=18 parts=20 aim-ms=100 missing="1:s:unanswered-by=t-1" sends=""
time=2026-07-04T07:36:27.200Z level=INFO msg=request id=3 route=r outcome=merged reason="" took-ms=40 covered=20 parts=20 aim-ms=100 missing="" sends="3/2:t-2:hedge:good:9ms"
time=2026-07-04T07:36:27.300Z level=INFO msg=request id=4 route="" outcome=refused reason=no-manifest retry-after-ms=300
time=2026-07-04T07:36:27.400Z level=INFO msg=request id=5 route=q outcome=served reason="" took-ms=500 covered=1 parts=1 aim-ms=400 missing="" sends=""
time=2026-07-04T07:36:27.500Z level=INFO msg=request id=6 route=r outcome=merged reason="" took-ms=130 covered=20 parts=20 aim-ms=100 missing="" sends=""
`
	got, err := explain.Summarise([]explain.Log{{Name: "a", Reader: strings.NewReader(log)}})
	require.NoError(t, err)
	want := []explain.Row{
		{Cause: "refused-no-manifest", Requests: 1, Loss: 1},
		{LatencyTargetMs: 100, Cause: "late-merged", Requests: 1, Loss: 1},
		{LatencyTargetMs: 100, Cause: "late-merged-without-parts", Requests: 1, Parts: 2, Loss: 1},
		{LatencyTargetMs: 400, Cause: "late-served", Requests: 1, Loss: 1},
	}
	require.Len(t, got, 5)
	assert.Equal(t, want, got[:4])
	assert.Equal(t, "merged-without-parts", got[4].Cause)
	assert.Equal(t, 2, got[4].Parts)
	assert.InDelta(t, 0.19, got[4].Loss, 1e-9)
}

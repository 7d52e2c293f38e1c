package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/observe/explain"
)

const first = `time=2026-01-28T22:58:50.000Z level=INFO msg="store lost" call=watch
time=2026-01-28T22:58:53.000Z level=INFO msg=targets changes="i-7ca93e9058:s:a:leaving i-1111111111:s:a:ready" known=9
time=2026-01-28T22:58:53.100Z level=INFO msg=targets changes="i-2222222222:s:a:leaving" known=9
time=2026-01-28T22:58:53.500Z level=INFO msg=request id=other route=r outcome=merged
time=2026-01-28T22:58:54.000Z level=INFO msg=request id=07a9 route=r outcome=broken missing="0:s:unanswered-by=i-7ca93e9058" sends=0/1:i-7ca93e9058:first:silent:9ms
time=2026-01-28T22:58:55.000Z level=INFO msg="store regained" revision=5
not a line of a log
`

const second = `time=2026-01-28T22:58:52.000Z level=INFO msg=request id=07a9 route=r outcome=refused reason=targets-busy
time=2026-01-28T22:50:00.000Z level=INFO msg=started
`

func TestGathersARequestOverAllLogs(t *testing.T) {
	got, err := explain.RequestLines("07a9", []explain.Log{
		{Name: "one", Reader: strings.NewReader(first)}, {Name: "two", Reader: strings.NewReader(second)},
	})
	require.NoError(t, err)
	var texts []string
	requests := 0
	for _, l := range got {
		_, message, _ := strings.Cut(l.Text, "level=INFO ")
		texts = append(texts, l.Source+" "+l.At.Format("05.0")+" "+message[:12])
		if l.AboutRequest {
			requests++
		}
	}
	assert.Equal(t, 2, requests)
	assert.Equal(t, []string{
		`one 50.0 msg="store l`, "two 52.0 msg=request ", "one 53.0 msg=targets ", "one 54.0 msg=request ",
	}, texts)
}

func TestFindsNothingOfAnUnknownRequest(t *testing.T) {
	got, err := explain.RequestLines("none", []explain.Log{{Name: "one", Reader: strings.NewReader(first)}})
	require.NoError(t, err)
	assert.Empty(t, got)
}

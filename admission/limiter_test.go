package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/admission"
)

var began = time.Unix(1_700_000_000, 0)

// serve lets queries through a server that takes 10 ms for each at a time, and
// returns the limit at the end.
func serve(t *testing.T, l *admission.Limiter, server int) int {
	t.Helper()
	for round := range 400 {
		now := began.Add(time.Duration(round) * 50 * time.Millisecond)
		n := 0
		for l.Enter() {
			n++
		}
		used := float64(n) / float64(server)
		for range n {
			l.Leave(now, admission.Ending{Used: min(used, 1), Lost: used > 1})
		}
		assert.Zero(t, l.Running())
	}
	return l.Limit()
}

func TestLimitSettlesBelowWhatIsLost(t *testing.T) {
	for _, server := range []int{4, 20, 100} {
		var l admission.Limiter
		l.Reset(256, 50*time.Millisecond)
		got := serve(t, &l, server)
		assert.LessOrEqual(t, got, server, "queries are lost")
		assert.GreaterOrEqual(t, got, server/3, "the server is idle")
	}
}

func TestOneQueryIsAlwaysAdmitted(t *testing.T) {
	var l admission.Limiter
	l.Reset(256, 0)
	for range 100 {
		assert.True(t, l.Enter())
		l.Leave(began, admission.Ending{Lost: true})
	}
	assert.Equal(t, 1, l.Limit())
}

func TestUrgentQueriesExceedTheLimitByAHalf(t *testing.T) {
	var l admission.Limiter
	l.Reset(100, 0)
	for l.Enter() {
	}
	got := 0
	for l.EnterUrgent() {
		got++
	}
	assert.Equal(t, l.Limit()/2, got)
}

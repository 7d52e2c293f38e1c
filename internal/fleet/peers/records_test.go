package peers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/peers"
)

// countCalls returns how often a record is renewed and the others are read during a time
// span, when the schedule is checked four times per second.
func countCalls(r *peers.RecordSchedule, from time.Time, span time.Duration, active, isolated bool) (renewed, read int) {
	for now := from; now.Before(from.Add(span)); now = now.Add(250 * time.Millisecond) {
		if r.RenewDue(now, active) {
			renewed++
		}
		if r.ReadDue(now, isolated) {
			read++
		}
	}
	return renewed, read
}

func TestRecordsAreRenewedByRole(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		active, isolated bool
		renewed, read    int
	}{
		"active":            {active: true, renewed: 60, read: 1},
		"standby":           {renewed: 7, read: 1},
		"standby, isolated": {isolated: true, renewed: 7, read: 119},
	}
	for name, test := range tests {
		var r peers.RecordSchedule
		r.ReadSucceeded(began)
		renewed, read := countCalls(&r, began, 2*time.Minute, test.active, test.isolated)
		assert.Equal(t, test.renewed, renewed, name)
		assert.Equal(t, test.read, read, name)
	}
}

func TestRecordsAreReadOftenUntilFirstSuccess(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	var r peers.RecordSchedule
	_, read := countCalls(&r, began, 10*time.Second, false, false)
	assert.Equal(t, 10, read)
	r.ReadSucceeded(began)
	_, read = countCalls(&r, began.Add(10*time.Second), 50*time.Second, false, false)
	assert.Zero(t, read)
}

func TestChangedOrFailedRecordIsRenewedSoon(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	var r peers.RecordSchedule
	assert.True(t, r.RenewDue(began, false))
	assert.True(t, r.RenewDue(began.Add(time.Second), true), "the host is active now")
	assert.True(t, r.RenewDue(began.Add(1100*time.Millisecond), false))
	r.RenewFailed(began.Add(1100 * time.Millisecond))
	assert.False(t, r.RenewDue(began.Add(2*time.Second), false))
	assert.True(t, r.RenewDue(began.Add(2600*time.Millisecond), false))
}

// TestLostRecordsAreWrittenAgainSpread guards against records that are missing for as long as a
// host on standby waits between renewals, and against 300 hosts that write them all at once.
func TestLostRecordsAreWrittenAgainSpread(t *testing.T) {
	const hosts = 300
	began := time.Unix(1_700_000_000, 0)
	lostAt := began.Add(3 * time.Second)
	random := rand.New(rand.NewPCG(1, 1))
	writes := map[int64]int{}
	for range hosts {
		var r peers.RecordSchedule
		assert.True(t, r.RenewDue(began, false))
		r.RecordLost(lostAt, hosts, random.Float64())
		now := lostAt
		for !r.RenewDue(now, false) {
			now = now.Add(10 * time.Millisecond)
		}
		assert.Less(t, now.Sub(lostAt), 4*time.Second)
		writes[now.Unix()] += 2
		assert.False(t, r.RenewDue(now.Add(time.Second), false))
	}
	for _, n := range writes {
		assert.Less(t, n, 300, "writes in a second")
	}
	var r peers.RecordSchedule
	r.RenewDue(began, false)
	r.RecordLost(began.Add(17*time.Second), hosts, 1)
	assert.True(t, r.RenewDue(began.Add(18*time.Second), false), "it is not put off")
}

func TestRecordIsActiveAfterDelay(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var r peers.RecordSchedule
	assert.False(t, r.Active(at(0), true))
	assert.False(t, r.Active(at(1500), true))
	assert.False(t, r.Active(at(1600), false), "other active hosts are known now")
	assert.False(t, r.Active(at(1700), true))
	assert.True(t, r.Active(at(3700), true))
	assert.False(t, r.Active(at(3800), false), "no delay when it is no longer active")
}

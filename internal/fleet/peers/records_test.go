package peers_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/fleet/peers"
)

// calls returns how often a record is renewed and the others are read in a time, when
// looked after each quarter of a second.
func calls(r *peers.RecordSchedule, from time.Time, span time.Duration, carrier, cut bool) (renewed, read int) {
	for now := from; now.Before(from.Add(span)); now = now.Add(250 * time.Millisecond) {
		if r.RenewDue(now, carrier) {
			renewed++
		}
		if r.ReadDue(now, cut) {
			read++
		}
	}
	return renewed, read
}

func TestRecordsAreRenewedByRole(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		carrier, cut  bool
		renewed, read int
	}{
		"carrier":         {carrier: true, renewed: 60, read: 2},
		"standby":         {renewed: 7, read: 2},
		"standby cut off": {cut: true, renewed: 7, read: 120},
	}
	for name, test := range tests {
		var r peers.RecordSchedule
		r.ReadSucceeded()
		renewed, read := calls(&r, began, 2*time.Minute, test.carrier, test.cut)
		assert.Equal(t, test.renewed, renewed, name)
		assert.Equal(t, test.read, read, name)
	}
}

func TestRecordsAreReadUntilTheyAreKnown(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	var r peers.RecordSchedule
	_, read := calls(&r, began, 10*time.Second, false, false)
	assert.Equal(t, 10, read)
	r.ReadSucceeded()
	_, read = calls(&r, began.Add(10*time.Second), 50*time.Second, false, false)
	assert.Zero(t, read)
}

func TestRecordThatChangesOrWasLostIsRenewedSoon(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	var r peers.RecordSchedule
	assert.True(t, r.RenewDue(began, false))
	assert.True(t, r.RenewDue(began.Add(time.Second), true), "carries callers now")
	assert.True(t, r.RenewDue(began.Add(1100*time.Millisecond), false))
	r.RenewFailed(began.Add(1100 * time.Millisecond))
	assert.False(t, r.RenewDue(began.Add(2*time.Second), false))
	assert.True(t, r.RenewDue(began.Add(2600*time.Millisecond), false))
}

func TestRecordSaysThatAHostCarriesCallersOnceItHasForAWhile(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var r peers.RecordSchedule
	assert.False(t, r.Active(at(0), true))
	assert.False(t, r.Active(at(1500), true))
	assert.False(t, r.Active(at(1600), false), "others are known now")
	assert.False(t, r.Active(at(1700), true))
	assert.True(t, r.Active(at(3700), true))
	assert.False(t, r.Active(at(3800), false), "at once")
}

package target_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fescuerill/target"
)

var (
	startTime = time.Unix(1_700_000_000, 0)
	limits    = target.Limits{Slots: 4, Batch: 16, ColdSlots: 1, ColdBatch: 2, ExchangesPerSlot: 3}
)

func newLimiter() *target.Limiter {
	var l target.Limiter
	l.Reset(limits)
	l.SetShare(target.ShareFull)
	l.HandleReport(startTime, target.Report{Incarnation: "1", State: target.Cold})
	return &l
}

// warm completes exchanges one by one until the target is warm.
func warm(t *testing.T, l *target.Limiter, incarnation string) {
	t.Helper()
	for range 100 {
		if l.State() == target.Warm {
			return
		}
		id, ok := l.Acquire(startTime, startTime.Add(time.Second))
		require.True(t, ok)
		l.Complete(startTime.Add(time.Millisecond), id, target.Report{Incarnation: incarnation, State: target.Warm}, true)
	}
	t.Fatal("the target does not warm up")
}

func TestUnknownTargetIsCold(t *testing.T) {
	l := newLimiter()
	assert.Equal(t, target.Cold, l.State())
	assert.Equal(t, 1, l.AllowedSlots())
	assert.Equal(t, 2, l.BatchSize(startTime))
}

func TestOnlyCompletedExchangesRaiseLimit(t *testing.T) {
	l := newLimiter()
	for range 100 {
		l.HandleReport(startTime, target.Report{Incarnation: "1", State: target.Warm})
	}
	assert.Equal(t, 1, l.AllowedSlots(), "a report does not raise the limit")
	for range 100 {
		id, ok := l.Acquire(startTime, startTime.Add(time.Second))
		require.True(t, ok)
		l.Complete(startTime, id, target.Report{Incarnation: "1"}, false)
	}
	assert.Equal(t, 1, l.AllowedSlots(), "an exchange that reached its deadline does not raise the limit")
	warm(t, l, "1")
	assert.Equal(t, 4, l.AllowedSlots())
	assert.Equal(t, 16, l.BatchSize(startTime))
}

func TestEventsTurnTargetCold(t *testing.T) {
	tests := []struct {
		name  string
		event func(l *target.Limiter)
		want  target.ColdCause
	}{
		{"report of cold", func(l *target.Limiter) {
			l.HandleReport(startTime, target.Report{Incarnation: "1", State: target.Cold})
		}, target.ColdCauseReported},
		{"report of warming", func(l *target.Limiter) {
			l.HandleReport(startTime, target.Report{Incarnation: "1", State: target.Warming})
		}, target.ColdCauseReported},
		{"new incarnation", func(l *target.Limiter) {
			l.HandleReport(startTime, target.Report{Incarnation: "2", State: target.Warm})
		}, target.ColdCauseIncarnation},
		{"broken connection", func(l *target.Limiter) { l.ConnectionBroken() }, target.ColdCauseReset},
		{"shed", func(l *target.Limiter) {
			id, _ := l.Acquire(startTime, startTime.Add(time.Second))
			l.HandleShed(startTime, id, target.Report{Incarnation: "1", State: target.Warm})
		}, target.ColdCauseShed},
		{"latency jump", func(l *target.Limiter) {
			id, _ := l.Acquire(startTime, startTime.Add(time.Second))
			l.Complete(startTime.Add(500*time.Millisecond), id, target.Report{Incarnation: "1", State: target.Warm}, true)
		}, target.ColdCauseLatency},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLimiter()
			l.TakeColdCause()
			warm(t, l, "1")
			tt.event(l)
			assert.Equal(t, target.Cold, l.State())
			assert.Equal(t, tt.want, l.TakeColdCause())
		})
	}
}

func TestRestoreStateYieldsToReportOfTarget(t *testing.T) {
	l := newLimiter()
	l.RestoreState("1", target.Warm, 100)
	assert.Equal(t, target.Cold, l.State(), "the target has reported that it is cold")
	l.HandleReport(startTime, target.Report{Incarnation: "1", State: target.Warm})
	l.RestoreState("0", target.Warm, 100)
	assert.Equal(t, target.Cold, l.State(), "another incarnation")
	l.RestoreState("1", target.Warm, 100)
	assert.Equal(t, target.Warm, l.State())
}

func TestSlotStaysInUseUntilExpiry(t *testing.T) {
	l := newLimiter()
	_, ok := l.Acquire(startTime, startTime.Add(50*time.Millisecond))
	require.True(t, ok)
	_, ok = l.Acquire(startTime.Add(50*time.Millisecond+target.ExpiryMargin), startTime.Add(time.Second))
	assert.False(t, ok, "the deadline has passed, the margin has not")
	_, ok = l.Acquire(startTime.Add(51*time.Millisecond+target.ExpiryMargin), startTime.Add(time.Second))
	assert.True(t, ok)
}

func TestSharesNeverExceedSlotsOfTarget(t *testing.T) {
	for slots := 1; slots <= 6; slots++ {
		l := limits
		l.Slots = slots
		var before, after target.Limiter
		before.Reset(l)
		before.RestoreState("1", target.Warm, 100)
		before.SetShare(target.ShareHalf)
		after.Reset(l)
		after.RestoreState("1", target.Warm, 100)
		after.SetShare(target.ShareRemainder)
		assert.LessOrEqual(t, before.AllowedSlots()+after.AllowedSlots(), slots)
	}
	l := newLimiter()
	l.SetShare(target.ShareHalf)
	assert.Zero(t, l.AllowedSlots(), "an owner without a valid lease uses no slots of a cold target")
}

// capacityModel is the actual capacity of a target by the contract in docs/CALLERS.md.
type capacityModel struct {
	completed int
	inFlight  map[uint64]bool
}

func (m *capacityModel) capacity() (slots, batch int) {
	l := limits
	ramp := min(l.Slots, l.ColdSlots+m.completed/l.ExchangesPerSlot)
	switch {
	case m.completed >= (l.Slots-l.ColdSlots+2)*l.ExchangesPerSlot:
		return l.Slots, l.Batch
	case ramp >= l.Slots:
		return l.Slots, max(l.ColdBatch, l.Batch/2)
	default:
		return ramp, l.ColdBatch
	}
}

// TestLimiterNeverExceedsTargetCapacity compares the limiter with a model of the target
// through restarts, false reports, lost replies and cancelled exchanges.
func TestLimiterNeverExceedsTargetCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, incarnation := startTime, 1
		model := capacityModel{inFlight: map[uint64]bool{}}
		l := newLimiter()
		report := func() target.Report {
			state := rapid.SampledFrom([]target.State{target.Cold, target.Warming, target.Warm}).Draw(t, "reported")
			return target.Report{Incarnation: string(rune('0' + incarnation)), State: state, Load: rapid.Float64Range(0, 3).Draw(t, "load")}
		}
		l.HandleReport(now, report())
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				until := now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
				batch := l.BatchSize(now)
				id, ok := l.Acquire(now, until)
				if !ok {
					return
				}
				slots, maxBatch := model.capacity()
				if len(model.inFlight)+1 > slots || batch > maxBatch {
					t.Fatalf("%d exchanges of %d parts for a target that can handle %d of %d", len(model.inFlight)+1, batch, slots, maxBatch)
				}
				model.inFlight[id] = true
			},
			"end": func(t *rapid.T) {
				for id := range model.inFlight {
					delete(model.inFlight, id)
					if rapid.Bool().Draw(t, "answer lost") {
						model.completed++
						return
					}
					model.completed++
					l.Complete(now, id, report(), true)
					return
				}
			},
			"cancel": func(*rapid.T) {
				for id := range model.inFlight {
					delete(model.inFlight, id)
					l.Complete(now, id, report(), false)
					return
				}
			},
			"restart": func(*rapid.T) {
				incarnation++
				model = capacityModel{inFlight: map[uint64]bool{}}
				l.HandleReport(now, report())
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				// Exchanges at the target end by their deadlines.
				l.ExpireSlots(now)
				if l.SlotsInUse() == 0 {
					clear(model.inFlight)
				}
			},
		})
	})
}

func TestQueueOrdersByDeadlineAndRejectsEarly(t *testing.T) {
	var q target.Queue[string]
	q.Reset(2)
	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	require.NoError(t, q.Offer(startTime, at(30), 0, "later"))
	require.NoError(t, q.Offer(startTime, at(10), 0, "sooner"))
	require.ErrorIs(t, q.Offer(startTime, at(40), 0, "third"), target.ErrQueueFull)
	require.ErrorIs(t, q.Offer(startTime, at(40), 50*time.Millisecond, "too late"), target.ErrTooLate)
	taken, late := q.Take(nil, nil, at(15), 5)
	assert.Equal(t, []string{"later"}, taken)
	assert.Equal(t, []string{"sooner"}, late)
}

func BenchmarkAcquireComplete(b *testing.B) {
	var l target.Limiter
	l.Reset(limits)
	l.SetShare(target.ShareFull)
	r := target.Report{Incarnation: "1", State: target.Warm}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := l.Acquire(startTime, startTime.Add(time.Second))
		l.Complete(startTime, id, r, true)
	}
}

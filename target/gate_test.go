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
	epoch  = time.Unix(1_700_000_000, 0)
	limits = target.Limits{Slots: 4, Batch: 16, ColdSlots: 1, ColdBatch: 2, ExchangesPerSlot: 3}
)

func newGate() *target.Limiter {
	var g target.Limiter
	g.Reset(limits)
	g.SetShare(target.ShareFull)
	g.HandleReport(epoch, target.Report{Incarnation: "1", State: target.Cold})
	return &g
}

// warm completes exchanges one by one until the gate is warm.
func warm(t *testing.T, g *target.Limiter, incarnation string) {
	t.Helper()
	for range 100 {
		if g.State() == target.Warm {
			return
		}
		id, ok := g.Acquire(epoch, epoch.Add(time.Second))
		require.True(t, ok)
		g.Complete(epoch.Add(time.Millisecond), id, target.Report{Incarnation: incarnation, State: target.Warm}, true)
	}
	t.Fatal("the gate does not warm up")
}

func TestUnknownTargetIsCold(t *testing.T) {
	g := newGate()
	assert.Equal(t, target.Cold, g.State())
	assert.Equal(t, 1, g.AllowedSlots())
	assert.Equal(t, 2, g.BatchSize(epoch))
}

func TestOnlyCompletedWorkRaises(t *testing.T) {
	g := newGate()
	for range 100 {
		g.HandleReport(epoch, target.Report{Incarnation: "1", State: target.Warm})
	}
	assert.Equal(t, 1, g.AllowedSlots(), "a report does not raise")
	for range 100 {
		id, ok := g.Acquire(epoch, epoch.Add(time.Second))
		require.True(t, ok)
		g.Complete(epoch, id, target.Report{Incarnation: "1"}, false)
	}
	assert.Equal(t, 1, g.AllowedSlots(), "an exchange that met its deadline does not raise")
	warm(t, g, "1")
	assert.Equal(t, 4, g.AllowedSlots())
	assert.Equal(t, 16, g.BatchSize(epoch))
}

func TestSignsOfATurnToCold(t *testing.T) {
	tests := []struct {
		name string
		sign func(g *target.Limiter)
		want target.ColdCause
	}{
		{"its word", func(g *target.Limiter) { g.HandleReport(epoch, target.Report{Incarnation: "1", State: target.Cold}) }, target.ColdCauseReported},
		{"its word that it is warming", func(g *target.Limiter) { g.HandleReport(epoch, target.Report{Incarnation: "1", State: target.Warming}) }, target.ColdCauseReported},
		{"new incarnation", func(g *target.Limiter) { g.HandleReport(epoch, target.Report{Incarnation: "2", State: target.Warm}) }, target.ColdCauseIncarnation},
		{"broken connection", func(g *target.Limiter) { g.ConnectionBroken() }, target.ColdCauseReset},
		{"shed", func(g *target.Limiter) {
			id, _ := g.Acquire(epoch, epoch.Add(time.Second))
			g.HandleShed(epoch, id, target.Report{Incarnation: "1", State: target.Warm})
		}, target.ColdCauseShed},
		{"latency jump", func(g *target.Limiter) {
			id, _ := g.Acquire(epoch, epoch.Add(time.Second))
			g.Complete(epoch.Add(500*time.Millisecond), id, target.Report{Incarnation: "1", State: target.Warm}, true)
		}, target.ColdCauseLatency},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGate()
			g.TakeColdCause()
			warm(t, g, "1")
			tt.sign(g)
			assert.Equal(t, target.Cold, g.State())
			assert.Equal(t, tt.want, g.TakeColdCause())
		})
	}
}

func TestHandOverIsNotBelievedAgainstTheTarget(t *testing.T) {
	g := newGate()
	g.RestoreState("1", target.Warm, 100)
	assert.Equal(t, target.Cold, g.State(), "the target has said that it is cold")
	g.HandleReport(epoch, target.Report{Incarnation: "1", State: target.Warm})
	g.RestoreState("0", target.Warm, 100)
	assert.Equal(t, target.Cold, g.State(), "another incarnation")
	g.RestoreState("1", target.Warm, 100)
	assert.Equal(t, target.Warm, g.State())
}

func TestSlotStaysTakenUntilTheEndIsSure(t *testing.T) {
	g := newGate()
	_, ok := g.Acquire(epoch, epoch.Add(50*time.Millisecond))
	require.True(t, ok)
	_, ok = g.Acquire(epoch.Add(50*time.Millisecond+target.ExpiryMargin), epoch.Add(time.Second))
	assert.False(t, ok, "the deadline has passed, the margin has not")
	_, ok = g.Acquire(epoch.Add(51*time.Millisecond+target.ExpiryMargin), epoch.Add(time.Second))
	assert.True(t, ok)
}

func TestSharesNeverAddUpToMoreThanTheTargetBears(t *testing.T) {
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
	g := newGate()
	g.SetShare(target.ShareHalf)
	assert.Zero(t, g.AllowedSlots(), "who cannot prove the lease gives a cold target nothing")
}

// bearing is what a target in truth bears, by the contract in docs/CALLERS.md.
type bearing struct {
	completed int
	running   map[uint64]bool
}

func (b *bearing) bears() (slots, batch int) {
	l := limits
	ramp := min(l.Slots, l.ColdSlots+b.completed/l.ExchangesPerSlot)
	switch {
	case b.completed >= (l.Slots-l.ColdSlots+2)*l.ExchangesPerSlot:
		return l.Slots, l.Batch
	case ramp >= l.Slots:
		return l.Slots, max(l.ColdBatch, l.Batch/2)
	default:
		return ramp, l.ColdBatch
	}
}

// TestNeverMoreThanATargetBears follows a target through announced turns,
// lying reports, lost answers and hand-overs.
func TestNeverMoreThanATargetBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, incarnation := epoch, 1
		truth := bearing{running: map[uint64]bool{}}
		g := newGate()
		report := func() target.Report {
			lie := rapid.SampledFrom([]target.State{target.Cold, target.Warming, target.Warm}).Draw(t, "reported")
			return target.Report{Incarnation: string(rune('0' + incarnation)), State: lie, Load: rapid.Float64Range(0, 3).Draw(t, "load")}
		}
		g.HandleReport(now, report())
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				until := now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
				batch := g.BatchSize(now)
				id, ok := g.Acquire(now, until)
				if !ok {
					return
				}
				slots, most := truth.bears()
				if len(truth.running)+1 > slots || batch > most {
					t.Fatalf("%d exchanges of %d parts for a target that bears %d of %d", len(truth.running)+1, batch, slots, most)
				}
				truth.running[id] = true
			},
			"end": func(t *rapid.T) {
				for id := range truth.running {
					delete(truth.running, id)
					if rapid.Bool().Draw(t, "answer lost") {
						truth.completed++
						return
					}
					truth.completed++
					g.Complete(now, id, report(), true)
					return
				}
			},
			"cancel": func(*rapid.T) {
				for id := range truth.running {
					delete(truth.running, id)
					g.Complete(now, id, report(), false)
					return
				}
			},
			"restart": func(*rapid.T) {
				incarnation++
				truth = bearing{running: map[uint64]bool{}}
				g.HandleReport(now, report())
			},
			"time": func(*rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				// What runs at the target ends by its deadline.
				g.ExpireSlots(now)
				if g.SlotsInUse() == 0 {
					clear(truth.running)
				}
			},
		})
	})
}

func TestQueueServesByDeadlineAndRefusesEarly(t *testing.T) {
	var q target.Queue[string]
	q.Reset(2)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	require.NoError(t, q.Offer(epoch, at(30), 0, "later"))
	require.NoError(t, q.Offer(epoch, at(10), 0, "sooner"))
	require.ErrorIs(t, q.Offer(epoch, at(40), 0, "third"), target.ErrQueueFull)
	require.ErrorIs(t, q.Offer(epoch, at(40), 50*time.Millisecond, "hopeless"), target.ErrTooLate)
	taken, late := q.Take(nil, nil, at(15), 5)
	assert.Equal(t, []string{"later"}, taken)
	assert.Equal(t, []string{"sooner"}, late)
}

func BenchmarkAcquireComplete(b *testing.B) {
	var g target.Limiter
	g.Reset(limits)
	g.SetShare(target.ShareFull)
	r := target.Report{Incarnation: "1", State: target.Warm}
	b.ReportAllocs()
	for b.Loop() {
		id, _ := g.Acquire(epoch, epoch.Add(time.Second))
		g.Complete(epoch, id, r, true)
	}
}

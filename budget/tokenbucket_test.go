package budget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/budget"
)

// commonLimit returns the limit for the additional requests of a number of hosts together.
func commonLimit(hosts int) budget.CommonLimit {
	return budget.CommonLimit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 40 + 2*float64(hosts)}
}

const (
	// tick is the resolution of the simulated time.
	tick = 10 * time.Millisecond
	// stepsPerWindow is the number of ticks in the window of commonLimit.
	stepsPerWindow = 1000
)

// fleet simulates hosts that send requests to one service, each with a bucket of its own.
type fleet struct {
	limit   budget.CommonLimit
	buckets []budget.TokenBucket
	// senders is the number of hosts among which the limit is divided.
	senders int
	// frozen holds for each host the number of ticks for which it does nothing.
	frozen []int
	random *rand.Rand
	now    time.Time
	// initial and additional are the requests of each tick.
	initial, additional []int
}

func newFleet(hosts int) *fleet {
	f := &fleet{
		limit: commonLimit(hosts), buckets: make([]budget.TokenBucket, hosts), senders: hosts,
		frozen: make([]int, hosts), random: rand.New(rand.NewPCG(uint64(hosts), 7)), now: time.Unix(1000, 0),
	}
	f.restart(f.hosts()...)
	return f
}

func (f *fleet) hosts() []int {
	all := make([]int, len(f.buckets))
	for i := range all {
		all[i] = i
	}
	return all
}

// restart replaces the processes of hosts by new ones.
func (f *fleet) restart(hosts ...int) {
	for _, i := range hosts {
		f.buckets[i].Reset(f.now, f.limit.Share(f.senders), f.random.Float64())
	}
}

// run simulates the requests of some ticks: initial ones arrive at random hosts, and each tick
// every host tries to send so many additional ones.
func (f *fleet) run(ticks, initialPerTick, wanted int) {
	for range ticks {
		f.now = f.now.Add(tick)
		sent := 0
		for range initialPerTick {
			if i := f.random.IntN(len(f.buckets)); f.frozen[i] == 0 {
				f.buckets[i].AddInitial(f.now)
			}
		}
		for i := range f.buckets {
			if f.frozen[i] > 0 {
				f.frozen[i]--
				continue
			}
			for range wanted {
				if f.buckets[i].TryWithdraw(f.now) {
					sent++
				}
			}
		}
		f.initial, f.additional = append(f.initial, initialPerTick), append(f.additional, sent)
	}
}

// mostOverLimit returns by how much the additional requests exceed the limit in the window in
// which they do so most. It is negative if they never exceed it.
func (f *fleet) mostOverLimit() float64 {
	const span = stepsPerWindow
	most := -f.limit.Allowance
	for n := span; n <= len(f.initial); n++ {
		initial := max(sum(f.initial, n-span, n), sum(f.initial, n-2*span, n-span), sum(f.initial, n-span-span/2, n-span/2))
		most = max(most, float64(sum(f.additional, n-span, n))-f.limit.Ratio*float64(initial)-f.limit.Allowance)
	}
	return most
}

func sum(values []int, from, to int) int {
	total := 0
	for _, v := range values[max(0, from):max(0, to)] {
		total += v
	}
	return total
}

// fleetSizes are the numbers of hosts with which the common limit is tested.
var fleetSizes = []int{9, 60, 300}

// TestReplacedHostsStayWithinCommonLimit guards against a budget that is spent by a process and
// again by the one that replaces it. After a calm time, in which budgets are saved up, targets
// fail, and hosts are replaced in turn or all at once, also more than once, or are suspended.
func TestReplacedHostsStayWithinCommonLimit(t *testing.T) {
	const calm, wanted = 2 * stepsPerWindow, 3
	tests := map[string]func(f *fleet){
		"no trouble": func(f *fleet) { f.run(2*stepsPerWindow, 1, wanted) },
		"replaced in turn": func(f *fleet) {
			for i := range f.buckets {
				f.run(max(1, 900/len(f.buckets)), 1, wanted)
				f.restart(i)
			}
			f.run(2*stepsPerWindow, 1, wanted)
		},
		"all replaced": func(f *fleet) {
			f.run(1, 1, 100)
			f.restart(f.hosts()...)
			f.run(2*stepsPerWindow, 1, wanted)
		},
		"all replaced twice": func(f *fleet) {
			for range 2 {
				f.run(stepsPerWindow/3, 1, 100)
				f.restart(f.hosts()...)
			}
			f.run(2*stepsPerWindow, 1, wanted)
		},
		"all suspended": func(f *fleet) {
			f.run(1, 1, 100)
			for i := range f.frozen {
				f.frozen[i] = stepsPerWindow / 2
			}
			f.run(2*stepsPerWindow, 1, wanted)
		},
		"half suspended and back": func(f *fleet) {
			for i := range f.frozen {
				f.frozen[i] = i % 2 * stepsPerWindow * 9 / 10
			}
			f.run(2*stepsPerWindow, 1, wanted)
		},
		"fewer requests": func(f *fleet) {
			f.run(stepsPerWindow/2, 0, wanted)
			f.run(stepsPerWindow, 1, wanted)
		},
	}
	for name, trouble := range tests {
		for _, hosts := range fleetSizes {
			t.Run(fmt.Sprint(name, " of ", hosts), func(t *testing.T) {
				f := newFleet(hosts)
				f.run(calm, 1, 0)
				trouble(f)
				assert.LessOrEqual(t, f.mostOverLimit(), 0.0)
				assert.Greater(t, slices.Max(f.additional), 0, "the budget is used")
			})
		}
	}
}

// TestWindowsOfAllHostsStayWithinCommonLimit simulates hosts that try to send an
// additional request for each initial one. Hosts restart at random, at times all at
// once, and the load drops repeatedly; in either case the sum over the hosts could
// exceed the common limit. The test checks every sliding window over all hosts.
func TestWindowsOfAllHostsStayWithinCommonLimit(t *testing.T) {
	for _, hosts := range fleetSizes {
		f := newFleet(hosts)
		for n := range 60 {
			if n%7 == 0 {
				f.restart(f.random.IntN(hosts))
			}
			if n%20 == 19 {
				f.restart(f.hosts()...)
			}
			initial := 0
			if n/15%2 == 0 {
				initial = hosts
			}
			f.run(100, initial, 1)
		}
		assert.LessOrEqual(t, f.mostOverLimit(), 0.0, "%d hosts", hosts)
	}
}

// TestBucketsStayWithinCommonLimitWhenSendersChange has few of many hosts send, each with its
// share for these, and the others with a share for all hosts. At times another few take over at
// once. Each tries to send an additional request all the time.
func TestBucketsStayWithinCommonLimitWhenSendersChange(t *testing.T) {
	const hosts, senders = 9, 2
	f := newFleet(hosts)
	f.limit.Ratio = 0
	first, most := 0, 0
	for n := range 12000 {
		f.now = f.now.Add(tick)
		if f.random.IntN(700) == 0 {
			first = f.random.IntN(hosts)
		}
		sent := 0
		for i := range f.buckets {
			share := f.limit.Share(hosts)
			if (i-first+hosts)%hosts < senders {
				share = f.limit.Share(senders)
			}
			f.buckets[i].SetLimits(f.now, share)
			if f.buckets[i].TryWithdraw(f.now) {
				sent++
			}
		}
		f.initial, f.additional = append(f.initial, 0), append(f.additional, sent)
		most = max(most, sum(f.additional, n-stepsPerWindow, n))
	}
	assert.LessOrEqual(t, f.mostOverLimit(), 0.0)
	assert.Greater(t, float64(most), f.limit.Allowance/4, "the senders use their shares")
}

func TestBucketIsFilledByRequestsAndTime(t *testing.T) {
	limits := budget.Limits{Ratio: 0.5, PerSecond: 2, Capacity: 10, Start: 3}
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		after   time.Duration
		initial int
		want    int
	}{
		"at the start":      {0, 0, 3},
		"by requests":       {0, 5, 5},
		"by time":           {time.Second, 0, 5},
		"by both":           {time.Second, 4, 7},
		"up to its size":    {time.Minute, 0, 10},
		"clock of the past": {-time.Minute, 0, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var b budget.TokenBucket
			b.Reset(start, limits, 0)
			now := start.Add(test.after)
			for range test.initial {
				b.AddInitial(now)
			}
			got := 0
			for b.TryWithdraw(now) {
				got++
			}
			assert.Equal(t, test.want, got)
		})
	}
}

// TestSurgeMayUseWhatItAdds lets many requests arrive at once at a bucket with little capacity.
// They may need additional requests some 100 ms later.
func TestSurgeMayUseWhatItAdds(t *testing.T) {
	var b budget.TokenBucket
	now := time.Unix(1000, 0)
	b.Reset(now, budget.Limits{Ratio: 0.2, Capacity: 2}, 0)
	for range 60 {
		b.AddInitial(now)
	}
	assert.GreaterOrEqual(t, b.Available(now.Add(100*time.Millisecond)), 9)
	assert.Equal(t, 2, b.Available(now.Add(2*time.Second)), "what is left of it is not kept")
}

// TestManyRequestsSaveUpNoMoreThanCapacity sends requests at a high but constant rate. What is
// saved up must not grow with the rate, as it comes on top of what later requests add.
func TestManyRequestsSaveUpNoMoreThanCapacity(t *testing.T) {
	var b budget.TokenBucket
	now := time.Unix(1000, 0)
	b.Reset(now, budget.Limits{Ratio: 0.2, Capacity: 2}, 0)
	for range 60_000 {
		now = now.Add(time.Millisecond)
		b.AddInitial(now)
	}
	assert.LessOrEqual(t, b.Available(now), 3)
}

func TestSmallerCapacityIsInForceAtOnce(t *testing.T) {
	var b budget.TokenBucket
	now := time.Unix(1000, 0)
	b.Reset(now, budget.Limits{Capacity: 10, Start: 10}, 0)
	b.SetLimits(now, budget.Limits{PerSecond: 1, Capacity: 4})
	assert.Equal(t, 4, b.Available(now))
	b.SetLimits(now, budget.Limits{PerSecond: 1, Capacity: 20})
	assert.Equal(t, 4, b.Available(now), "a larger one is filled over time")
	assert.Equal(t, 20, b.Available(now.Add(time.Minute)))
}

// TestSomeBucketsStartWithToken checks that many hosts together start with their share although
// that of each is less than a request.
func TestSomeBucketsStartWithToken(t *testing.T) {
	limits := commonLimit(300).Share(300)
	r := rand.New(rand.NewPCG(1, 1))
	got := 0
	for range 10_000 {
		var b budget.TokenBucket
		b.Reset(time.Unix(1000, 0), limits, r.Float64())
		got += b.Available(time.Unix(1000, 0))
	}
	assert.InDelta(t, 10_000*limits.Start, got, 200)
}

func TestZeroBucketAllowsNothing(t *testing.T) {
	var b budget.TokenBucket
	b.AddInitial(time.Unix(1000, 0))
	assert.False(t, b.TryWithdraw(time.Unix(1000, 0)))
}

func ExampleTokenBucket() {
	limit := budget.CommonLimit{Ratio: 0.2, Window: 10 * time.Second, Allowance: 60}
	var b budget.TokenBucket
	now := time.Unix(1000, 0)
	b.Reset(now, limit.Share(3), 0)
	for range 10 {
		b.AddInitial(now)
	}
	fmt.Println(b.Available(now))
	// Output: 4
}

package trial_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/caller"
	"fescuerill/internal/network"
	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// withFakeClock runs f with a deployment whose parts are joined in memory and whose
// clock stands still while anything is to do.
func withFakeClock(t *testing.T, o trial.Options, f func(t *testing.T, run *trial.Trial)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o.Memory = &network.Memory{}
		o.Shape = smallShape()
		o.Target.Base = time.Millisecond
		run, err := trial.Start(o)
		require.NoError(t, err)
		defer run.Close()
		f(t, run)
	})
}

// searchCoverage asks every daemon some searches and returns the share of shards
// covered.
func searchCoverage(t *testing.T, run *trial.Trial, n int) float64 {
	t.Helper()
	covered, all := 0, 0
	for _, d := range run.Daemons() {
		client := run.Caller()
		for range n {
			a, err := client.Ask(context.Background(), d.CallerAddress(), caller.Search{Terms: "target"})
			if err != nil {
				continue
			}
			covered += len(a.Coverage.Covered)
			all += len(a.Coverage.Covered) + len(a.Coverage.Missing)
		}
		client.Close()
	}
	return float64(covered) / float64(max(1, all))
}

// TestHostsPartitionedFromStore cuts a third of the hosts off from the store only,
// for a minute.
func TestHostsPartitionedFromStore(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 6, Target: standin.TargetOptions{Warm: true}}, func(t *testing.T, run *trial.Trial) {
		assert.Equal(t, 1.0, searchCoverage(t, run, 20))
		cut := run.Daemons()[:2]
		for _, d := range cut {
			run.Memory().Cut(d.ID(), "store")
		}
		time.Sleep(time.Minute)
		for _, d := range cut {
			assert.False(t, d.Status().Proven)
			assert.Equal(t, 4, d.Status().Hosts, "it hears of the epoch from others")
			assert.Empty(t, d.Status().Targets, "its targets have moved")
		}
		assert.Equal(t, 1.0, searchCoverage(t, run, 20), "hosts that hear others go on")
		run.Memory().Heal()
		time.Sleep(30 * time.Second)
		assert.Equal(t, 1.0, searchCoverage(t, run, 20))
		assert.Equal(t, 6, run.Daemons()[0].Status().Hosts)
		totals := run.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestHostsPartitionedIntoTwoGroups cuts three hosts with the store from three
// without, for a quarter of an hour.
func TestHostsPartitionedIntoTwoGroups(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 6, Target: standin.TargetOptions{Warm: true}}, func(t *testing.T, run *trial.Trial) {
		assert.Equal(t, 1.0, searchCoverage(t, run, 20), "and the targets are known to be warm")
		all := run.Daemons()
		for _, far := range all[3:] {
			run.Memory().Cut(far.ID(), "store")
			for _, near := range all[:3] {
				run.Memory().Cut(far.ID(), near.ID())
			}
		}
		time.Sleep(time.Minute)
		assert.Greater(t, searchCoverage(t, run, 5), 0.5)
		time.Sleep(15 * time.Minute)
		for _, d := range all[:3] {
			assert.Equal(t, 3, d.Status().Hosts)
		}
		for _, d := range all[3:] {
			assert.False(t, d.Status().Proven)
			assert.NotEmpty(t, d.Status().Targets, "ownership stands still")
		}
		assert.Greater(t, searchCoverage(t, run, 5), 0.5)
		run.Memory().Heal()
		time.Sleep(time.Minute)
		assert.Equal(t, 1.0, searchCoverage(t, run, 20))
		totals := run.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestStoreOutageOfOneHour takes the store away for an hour under light load.
func TestStoreOutageOfOneHour(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{Warm: true}}, func(t *testing.T, run *trial.Trial) {
		searchCoverage(t, run, 20)
		run.Store().SetFaults(standin.StoreFaults{Out: true})
		for range 6 {
			time.Sleep(10 * time.Minute)
			assert.Equal(t, 1.0, searchCoverage(t, run, 10))
		}
		run.Store().SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, 1.0, searchCoverage(t, run, 10))
		for _, d := range run.Daemons() {
			assert.True(t, d.Status().Proven)
		}
		totals := run.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestIsolatedHostRefusesNewWork cuts one host off from everybody but callers.
func TestIsolatedHostRefusesNewWork(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 4, Target: standin.TargetOptions{Warm: true}}, func(t *testing.T, run *trial.Trial) {
		alone := run.Daemons()[3]
		run.Memory().Cut(alone.ID(), "store")
		for _, d := range run.Daemons()[:3] {
			run.Memory().Cut(alone.ID(), d.ID())
		}
		time.Sleep(20 * time.Second)
		client := run.Caller()
		defer client.Close()
		_, err := client.Ask(context.Background(), alone.CallerAddress(), caller.Search{Terms: "target"})
		var refusal *caller.Refusal
		require.ErrorAs(t, err, &refusal)
		assert.True(t, refusal.NotRun())
		assert.Equal(t, "isolated", refusal.Reason())
		hosts, err := client.Hosts(context.Background())
		require.NoError(t, err)
		for _, h := range hosts {
			assert.NotEqual(t, alone.ID(), h.ID, "it is not handed out")
		}
	})
}

// TestStoreCallRateAfterSimultaneousStart starts all hosts in the same second and counts
// what the store is asked.
func TestStoreCallRateAfterSimultaneousStart(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 30}, func(t *testing.T, run *trial.Trial) {
		run.Store().Calls()
		time.Sleep(time.Minute)
		calls := run.Store().Calls()
		perSecond := func(kind string) float64 { return float64(calls[kind]) / 60 }
		// Leases of 2 s are renewed 1.5 times a second by each host.
		assert.InDelta(t, 45, perSecond("put-leases"), 5)
		assert.Less(t, perSecond("get-watch"), 55.0, "a conditional read each, and the watches")
		assert.Less(t, perSecond("get-list"), 3.0, "one survey a second")
		assert.Less(t, perSecond("put-keys"), 3.0)
	})
}

package trial_test

import (
	"context"
	"path"
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

// withFakeClock runs f with a deployment of the small shape in a synctest bubble.
// Its components are connected in memory, and its clock advances only when all
// goroutines are blocked.
func withFakeClock(t *testing.T, o trial.Options, f func(t *testing.T, cluster *trial.Cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		o.Memory = &network.Memory{}
		o.Shape = smallShape()
		o.Target.BaseLatency = time.Millisecond
		cluster, err := trial.Start(o)
		require.NoError(t, err)
		defer cluster.Close()
		f(t, cluster)
	})
}

// searchCoverage sends n searches to every daemon and returns the fraction of
// shards that the answers cover. It leaves out searches that get no answer.
func searchCoverage(t *testing.T, cluster *trial.Cluster, n int) float64 {
	t.Helper()
	covered, all := 0, 0
	for _, d := range cluster.Daemons() {
		client := cluster.NewCaller()
		for range n {
			a, err := client.SearchHost(context.Background(), d.CallerAddress(), caller.Search{Terms: "target"})
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

// TestSnapshotDroppedWhileSearchRuns replaces the only snapshot of every target after
// those of all services but one have answered a search. The hosts have heard of the new
// snapshot only from the last service, and the search must still cover every shard.
func TestSnapshotDroppedWhileSearchRuns(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{StartWarm: true}}, func(t *testing.T, cluster *trial.Cluster) {
		require.Equal(t, 1.0, searchCoverage(t, cluster, 20))
		deployment := cluster.Deployment()
		slowService := path.Dir(deployment.TargetPaths()[0])
		for _, p := range deployment.TargetPaths() {
			if path.Dir(p) == slowService {
				deployment.Target(p).SetFaults(standin.TargetFaults{LatencyFactor: 200})
			}
		}
		time.AfterFunc(100*time.Millisecond, func() { deployment.SetSnapshots(9) })
		client := cluster.NewCaller()
		defer client.Close()
		a, err := client.SearchHost(context.Background(), cluster.Daemons()[0].CallerAddress(), caller.Search{Terms: "target"})
		require.NoError(t, err)
		assert.Equal(t, 9, a.Coverage.Snapshot)
		assert.Empty(t, a.Coverage.Missing)
		assert.Positive(t, cluster.Counter("restarts-newer-snapshot"))
	})
}

// TestHostsPartitionedFromStore disconnects a third of the hosts from the store,
// but not from other hosts, for a minute. Their targets must move to the hosts
// that reach the store, and searches sent to any host must still cover all shards.
func TestHostsPartitionedFromStore(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 6, Target: standin.TargetOptions{StartWarm: true}}, func(t *testing.T, cluster *trial.Cluster) {
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 20))
		partitioned := cluster.Daemons()[:2]
		for _, d := range partitioned {
			cluster.Memory().Partition(d.ID(), "store")
		}
		time.Sleep(time.Minute)
		for _, d := range partitioned {
			assert.False(t, d.Status().Proven)
			assert.Equal(t, 4, d.Status().Hosts, "it learns the epoch from other hosts")
			assert.Empty(t, d.Status().Targets, "its targets have moved")
		}
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 20), "hosts that reach other hosts still serve")
		cluster.Memory().Heal()
		time.Sleep(30 * time.Second)
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 20))
		assert.Equal(t, 6, cluster.Daemons()[0].Status().Hosts)
		totals := cluster.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestHostsPartitionedIntoTwoGroups partitions three hosts from the other three
// and from the store for 16 minutes. Hosts without the store must keep their
// targets, answers must still cover more than half of the shards, and no target
// may exceed its capacity.
func TestHostsPartitionedIntoTwoGroups(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 6, Target: standin.TargetOptions{StartWarm: true}}, func(t *testing.T, cluster *trial.Cluster) {
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 20), "all shards are covered, and the targets are discovered to be warm")
		all := cluster.Daemons()
		for _, withoutStore := range all[3:] {
			cluster.Memory().Partition(withoutStore.ID(), "store")
			for _, withStore := range all[:3] {
				cluster.Memory().Partition(withoutStore.ID(), withStore.ID())
			}
		}
		time.Sleep(time.Minute)
		assert.Greater(t, searchCoverage(t, cluster, 5), 0.5)
		time.Sleep(15 * time.Minute)
		for _, d := range all[:3] {
			assert.Equal(t, 3, d.Status().Hosts)
		}
		for _, d := range all[3:] {
			assert.False(t, d.Status().Proven)
			assert.NotEmpty(t, d.Status().Targets, "ownership does not change without the store")
		}
		assert.Greater(t, searchCoverage(t, cluster, 5), 0.5)
		cluster.Memory().Heal()
		time.Sleep(time.Minute)
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 20))
		totals := cluster.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestStoreOutageOfOneHour makes the store unavailable for an hour under light
// load. Searches must cover all shards throughout, and the leases must be valid
// again afterwards.
func TestStoreOutageOfOneHour(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{StartWarm: true}}, func(t *testing.T, cluster *trial.Cluster) {
		searchCoverage(t, cluster, 20)
		cluster.Store().SetFaults(standin.StoreFaults{Unavailable: true})
		for range 6 {
			time.Sleep(10 * time.Minute)
			assert.Equal(t, 1.0, searchCoverage(t, cluster, 10))
		}
		cluster.Store().SetFaults(standin.StoreFaults{})
		time.Sleep(10 * time.Second)
		assert.Equal(t, 1.0, searchCoverage(t, cluster, 10))
		for _, d := range cluster.Daemons() {
			assert.True(t, d.Status().Proven)
		}
		totals := cluster.Deployment().Totals()
		assert.Zero(t, totals.Overruns+totals.ColdOverruns)
	})
}

// TestIsolatedHostRefusesNewWork partitions one host from the store and all other
// hosts, but not from callers. It must refuse searches, and its address must not
// be given to callers.
func TestIsolatedHostRefusesNewWork(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 4, Target: standin.TargetOptions{StartWarm: true}}, func(t *testing.T, cluster *trial.Cluster) {
		isolated := cluster.Daemons()[3]
		cluster.Memory().Partition(isolated.ID(), "store")
		for _, d := range cluster.Daemons()[:3] {
			cluster.Memory().Partition(isolated.ID(), d.ID())
		}
		time.Sleep(20 * time.Second)
		client := cluster.NewCaller()
		defer client.Close()
		_, err := client.SearchHost(context.Background(), isolated.CallerAddress(), caller.Search{Terms: "target"})
		var refusal *caller.ResponseError
		require.ErrorAs(t, err, &refusal)
		assert.True(t, refusal.NotRun())
		assert.Equal(t, "isolated", refusal.Reason())
		hosts, err := client.Hosts(context.Background())
		require.NoError(t, err)
		for _, h := range hosts {
			assert.NotEqual(t, isolated.ID(), h.ID, "its address is given to callers")
		}
	})
}

// TestStoreCallRateAfterSimultaneousStart starts 30 hosts within the same second
// and checks the rate of calls to the store in the minute after.
func TestStoreCallRateAfterSimultaneousStart(t *testing.T) {
	withFakeClock(t, trial.Options{Hosts: 30}, func(t *testing.T, cluster *trial.Cluster) {
		cluster.Store().TakeCallCounts()
		time.Sleep(time.Minute)
		calls := cluster.Store().TakeCallCounts()
		perSecond := func(kind string) float64 { return float64(calls[kind]) / 60 }
		// Leases of 2 s are renewed 1.5 times a second by each host.
		assert.InDelta(t, 45, perSecond("put-leases"), 5)
		assert.Less(t, perSecond("get-watch"), 55.0, "one conditional read a second by each host, and the watches")
		assert.Less(t, perSecond("get-list"), 3.0, "one list call a second")
		assert.Less(t, perSecond("put-keys"), 3.0)
	})
}

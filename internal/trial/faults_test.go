package trial_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/caller"
	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// TestAnswersNeverMixSnapshots changes the snapshot, and with it the number of
// shards, ten times a second. Every second change removes the previous snapshot
// from the targets at once, so that searches pinned to it must restart. No answer
// may contain hits from two snapshots.
func TestAnswersNeverMixSnapshots(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3})
	stop := make(chan struct{})
	var updates sync.WaitGroup
	updates.Go(func() {
		for n := 2; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				if n%2 == 0 {
					cluster.Deployment().SetSnapshots(n)
				} else {
					cluster.Deployment().SetSnapshots(n-1, n)
				}
			}
		}
	})
	r := cluster.RunLoad(trial.Load{Rate: 100, Duration: 3 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.CheckOneSnapshot})
	close(stop)
	updates.Wait()
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Answered)
	assert.Greater(t, r.Coverage(), 0.9, r.MissingReasons)
	assert.Positive(t, cluster.Counter("restarts-newer-snapshot"), "some search had to restart on a newer snapshot")
}

// TestSnapshotDroppedAtOnce replaces the only snapshot of every target, so that
// the hosts learn of the new one only from refusals. Searches must still cover
// every shard.
func TestSnapshotDroppedAtOnce(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3})
	load := trial.Load{Rate: 50, Duration: 500 * time.Millisecond, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.CheckOneSnapshot}
	cluster.RunLoad(load)
	cluster.Deployment().SetSnapshots(9)
	r := cluster.RunLoad(load)
	assert.Empty(t, r.Violations)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Equal(t, 9, r.SampleAnswers[0].Coverage.Snapshot)
}

// evacuate starts a cluster and evacuates a data centre by a change of settings. It returns
// the settings before.
func evacuate(t *testing.T, load trial.Load) (cluster *trial.Cluster, settings string) {
	t.Helper()
	cluster = startCluster(t, trial.Options{Hosts: 3})
	cluster.RunLoad(load)
	settings = cluster.Deployment().Settings()
	evacuated := strings.Replace(settings, "[data-centres.khomas-b]\nstate = \"in\"", "[data-centres.khomas-b]\nstate = \"out\"", 1)
	require.NotEqual(t, settings, evacuated)
	require.NoError(t, cluster.ApplySettings(evacuated))
	require.Eventually(t, func() bool { return allAtRevision(cluster, 2) }, 4*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	return cluster, settings
}

// TestEvacuationFailsNoSearch evacuates a data centre under light load. No search may be
// refused or fail.
func TestEvacuationFailsNoSearch(t *testing.T) {
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	cluster, _ := evacuate(t, load)
	assert.Empty(t, cluster.RunLoad(load).FailureReasons)
}

// TestEvacuatedDataCentreGetsNoNewWork evacuates a data centre and then reverts the change.
// In between, its targets must get no exchanges and callers no addresses of its hosts.
func TestEvacuatedDataCentreGetsNoNewWork(t *testing.T) {
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	cluster, settings := evacuate(t, load)
	before := exchanges(cluster, "khomas-b")
	r := cluster.RunLoad(load)
	assert.Equal(t, before, exchanges(cluster, "khomas-b"), "its targets got exchanges")
	assert.Equal(t, 1.0, r.Coverage(), "replicas in other data centres cover its shards: %v", r.MissingReasons)
	for _, d := range cluster.Daemons() {
		var a struct{ Hosts []caller.Address }
		client := caller.NewClient("")
		require.NoError(t, client.GetJSON(context.Background(), d.CallerAddress(), "/v1/hosts", &a))
		for _, h := range a.Hosts {
			assert.NotEqual(t, "khomas-b", h.DataCentre, "addresses of its hosts are given to callers")
		}
		client.Close()
	}
	require.NoError(t, cluster.ApplySettings(settings))
	require.Eventually(t, func() bool { return allAtRevision(cluster, 3) }, 4*time.Second, 10*time.Millisecond)
	require.NoError(t, cluster.AwaitReady())
	cluster.RunLoad(load)
	assert.Greater(t, exchanges(cluster, "khomas-b"), before, "its targets get exchanges again")
	assert.Zero(t, cluster.Deployment().Totals().ColdOverruns)
}

// allAtRevision reports whether every daemon has applied the revision of the
// settings or a later one.
func allAtRevision(cluster *trial.Cluster, revision int) bool {
	for _, d := range cluster.Daemons() {
		if d.SettingsRevision() < revision {
			return false
		}
	}
	return true
}

// exchanges returns the number of exchanges that the targets of a data centre
// received.
func exchanges(cluster *trial.Cluster, dataCentre string) int {
	sum := 0
	for _, path := range cluster.Deployment().TargetPaths() {
		if cluster.Deployment().DataCentre(path) == dataCentre {
			sum += cluster.Deployment().Target(path).Counts().Exchanges
		}
	}
	return sum
}

// TestStoreOutageFreezesOwnership makes the store unavailable for longer than the
// leases last. Owners must still use half the slots of warm targets, but send
// nothing to a target that turned cold.
func TestStoreOutageFreezesOwnership(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 300, Duration: 2 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	cluster.RunLoad(load)
	cluster.Store().SetFaults(standin.StoreFaults{Unavailable: true})
	time.Sleep(3 * time.Second)
	cold := cluster.Deployment().TargetPaths()[0]
	cluster.Deployment().Target(cold).TurnCold(true)
	time.Sleep(1200 * time.Millisecond)
	before := cluster.Deployment().Target(cold).Counts().Exchanges
	load.Rate = 20
	r := cluster.RunLoad(load)
	assert.Equal(t, before, cluster.Deployment().Target(cold).Counts().Exchanges, "an owner without a valid lease sent to a cold target")
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Empty(t, r.FailureReasons)
	cluster.Store().SetFaults(standin.StoreFaults{})
	require.Eventually(t, func() bool {
		for _, d := range cluster.Daemons() {
			if !d.Status().Proven {
				return false
			}
		}
		return true
	}, 10*time.Second, 50*time.Millisecond)
	assert.Zero(t, cluster.Deployment().Totals().ColdOverruns)
}

// TestSilentConnectionsAreReplaced stops all replies on the open connections of
// some targets, while new connections work. The daemons must notice and reconnect,
// so that searches cover every shard again.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 2, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	cluster.RunLoad(load)
	for _, path := range cluster.Deployment().TargetPaths()[:4] {
		cluster.Deployment().Target(path).SetFaults(standin.TargetFaults{SilentConnections: true})
	}
	cluster.RunLoad(load)
	before := cluster.Deployment().Totals().Exchanges
	r := cluster.RunLoad(load)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Greater(t, cluster.Deployment().Totals().Exchanges, before)
}

// TestActionsRunAtMostOnce sends the same actions repeatedly, to the host that
// issued the ticket and to another one, and an action whose timestamp is not
// valid. Each action must run at most once.
func TestActionsRunAtMostOnce(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: 5 * time.Millisecond, StartWarm: true}})
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	first := cluster.Daemons()[0].CallerAddress()
	ticket, err := client.RequestTicket(ctx, first)
	require.NoError(t, err)
	action := func(i int) caller.Action {
		return caller.Action{
			Service: "dispatch-desk/dispatch-desk-01", Operation: "hold", Item: fmt.Sprintf("lot-%d", i),
			IdempotencyKey: fmt.Sprintf("order-%04d", i), Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
		}
	}
	var senders sync.WaitGroup
	for i := range 50 {
		for range 3 {
			senders.Go(func() { _, _ = client.SubmitAction(ctx, first, action(i)) })
		}
	}
	senders.Wait()
	actions := cluster.Deployment().Totals().Actions
	assert.Equal(t, 50, actions)
	for i := range 50 {
		o, err := client.SubmitAction(ctx, first, action(i))
		require.NoError(t, err)
		assert.True(t, o.Replayed)
	}
	_, err = client.SubmitAction(ctx, cluster.Daemons()[1].CallerAddress(), action(0))
	var refusal *caller.ResponseError
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "another host does not know the outcome")
	invalid := action(99)
	invalid.StampMs = ticket.StampMs + 3_600_000
	_, err = client.SubmitAction(ctx, first, invalid)
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "the ticket is not valid")
	assert.Equal(t, actions, cluster.Deployment().Totals().Actions)
	assert.Zero(t, cluster.Deployment().Totals().Repeated)
}

// TestActionWithLostAnswerHasUnknownOutcome makes targets close connections
// instead of answering, so that the host cannot know whether an action ran. Its
// reply must be that the outcome is unknown, also when the caller repeats the
// action.
func TestActionWithLostAnswerHasUnknownOutcome(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 1, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	for _, path := range cluster.Deployment().TargetPaths()[:2] {
		cluster.Deployment().Target(path).SetFaults(standin.TargetFaults{ResetConnections: true})
	}
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	address := cluster.Daemons()[0].CallerAddress()
	ticket, err := client.RequestTicket(ctx, address)
	require.NoError(t, err)
	a := caller.Action{
		Service: "dispatch-desk/dispatch-desk-01", Operation: "hold", Item: "lot",
		IdempotencyKey: "order-4711", Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
	}
	for range 2 {
		_, err = client.SubmitAction(ctx, address, a)
		var refusal *caller.ResponseError
		require.True(t, errors.As(err, &refusal), err)
		assert.Equal(t, "outcome-unknown", refusal.Kind())
	}
}

// TestCallersAreSpreadEvenly requests the host list many times. Each host must be
// first in the list about equally often, within 10 %, because callers use the
// first one.
func TestCallersAreSpreadEvenly(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 6})
	const requests = 18_000
	first := map[string]int{}
	client := caller.NewClient("")
	defer client.Close()
	for i := range requests {
		var a struct{ Hosts []caller.Address }
		address := cluster.Daemons()[i%6].CallerAddress()
		require.NoError(t, client.GetJSON(context.Background(), address, "/v1/hosts", &a))
		require.Len(t, a.Hosts, 6)
		first[a.Hosts[0].ID]++
	}
	for id, n := range first {
		assert.InDelta(t, requests/6, n, requests/6*0.1, id)
	}
}

// TestLostTargetsRecover stops both targets of a service and starts them again.
// One second later searches must cover every shard again.
func TestLostTargetsRecover(t *testing.T) {
	cluster := startCluster(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 50, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	both := cluster.Deployment().TargetPaths()[:2]
	for _, path := range both {
		cluster.Deployment().Server(path).Stop()
	}
	time.Sleep(500 * time.Millisecond)
	r := cluster.RunLoad(load)
	assert.Less(t, r.Coverage(), 1.0)
	for _, path := range both {
		require.NoError(t, cluster.Deployment().Server(path).Start())
	}
	time.Sleep(time.Second)
	r = cluster.RunLoad(load)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
}

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

// TestAnswersNeverMixSnapshots changes the snapshot and with it the number of
// shards ten times a second. Every other time the targets drop the one before at
// once, so that searches that have pinned it must start again.
func TestAnswersNeverMixSnapshots(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3})
	stop := make(chan struct{})
	var changing sync.WaitGroup
	changing.Go(func() {
		for n := 2; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				if n%2 == 0 {
					run.Deployment().SetSnapshots(n)
				} else {
					run.Deployment().SetSnapshots(n-1, n)
				}
			}
		}
	})
	r := run.RunLoad(trial.Load{Rate: 100, Duration: 3 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.CheckOneSnapshot})
	close(stop)
	changing.Wait()
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Answered)
	assert.Greater(t, r.Coverage(), 0.9, r.MissingReasons)
	assert.Positive(t, run.Counter("restarts-newer-snapshot"), "some search had to start again")
}

// TestSnapshotDroppedAtOnce makes every target drop the snapshot that the
// entries know, so that each must learn of the new one from a refusal.
func TestSnapshotDroppedAtOnce(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3})
	load := trial.Load{Rate: 50, Duration: 500 * time.Millisecond, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.CheckOneSnapshot}
	run.RunLoad(load)
	run.Deployment().SetSnapshots(9)
	r := run.RunLoad(load)
	assert.Empty(t, r.Violations)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Equal(t, 9, r.SampleAnswers[0].Coverage.Snapshot)
}

func TestDataCentreOutGetsNoNewWork(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3})
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.RunLoad(load)
	settings := run.Deployment().Settings()
	out := strings.Replace(settings, "[data-centres.khomas-b]\nstate = \"in\"", "[data-centres.khomas-b]\nstate = \"out\"", 1)
	require.NotEqual(t, settings, out)
	require.NoError(t, run.ApplySettings(out))
	require.Eventually(t, func() bool { return inForce(run, 2) }, 4*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	before := exchanges(run, "khomas-b")
	r := run.RunLoad(load)
	assert.Equal(t, before, exchanges(run, "khomas-b"), "its targets got new work")
	assert.Empty(t, r.RefusalReasons)
	assert.Equal(t, 1.0, r.Coverage(), "replicas elsewhere cover it: %v", r.MissingReasons)
	for _, d := range run.Daemons() {
		var a struct{ Hosts []caller.Address }
		client := caller.NewClient("")
		require.NoError(t, client.GetJSON(context.Background(), d.CallerAddress(), "/v1/hosts", &a))
		for _, h := range a.Hosts {
			assert.NotEqual(t, "khomas-b", h.DataCentre, "its hosts are handed out")
		}
		client.Close()
	}
	require.NoError(t, run.ApplySettings(settings))
	require.Eventually(t, func() bool { return inForce(run, 3) }, 4*time.Second, 10*time.Millisecond)
	require.NoError(t, run.AwaitReady())
	run.RunLoad(load)
	assert.Greater(t, exchanges(run, "khomas-b"), before, "it takes work again")
	assert.Zero(t, run.Deployment().Totals().ColdOverruns)
}

func inForce(run *trial.Cluster, revision int) bool {
	for _, d := range run.Daemons() {
		if d.SettingsRevision() < revision {
			return false
		}
	}
	return true
}

func exchanges(run *trial.Cluster, dataCentre string) int {
	sum := 0
	for _, path := range run.Deployment().TargetPaths() {
		if run.Deployment().DataCentre(path) == dataCentre {
			sum += run.Deployment().Target(path).Counts().Exchanges
		}
	}
	return sum
}

// TestStoreOutageFreezesOwnership takes the store away for longer than the
// leases last. Warm targets are served on, by half of their slots; a cold one
// gets nothing.
func TestStoreOutageFreezesOwnership(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 300, Duration: 2 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.RunLoad(load)
	run.Store().SetFaults(standin.StoreFaults{Unavailable: true})
	time.Sleep(3 * time.Second)
	cold := run.Deployment().TargetPaths()[0]
	run.Deployment().Target(cold).TurnCold(true)
	time.Sleep(1200 * time.Millisecond)
	before := run.Deployment().Target(cold).Counts().Exchanges
	load.Rate = 20
	r := run.RunLoad(load)
	assert.Equal(t, before, run.Deployment().Target(cold).Counts().Exchanges, "an unproven owner gave a cold target work")
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Empty(t, r.RefusalReasons)
	run.Store().SetFaults(standin.StoreFaults{})
	require.Eventually(t, func() bool {
		for _, d := range run.Daemons() {
			if !d.Status().Proven {
				return false
			}
		}
		return true
	}, 10*time.Second, 50*time.Millisecond)
	assert.Zero(t, run.Deployment().Totals().ColdOverruns)
}

// TestSilentConnectionsAreReplaced makes all connections of some targets silent
// for good while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	run := start(t, trial.Options{Hosts: 2, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.RunLoad(load)
	for _, path := range run.Deployment().TargetPaths()[:4] {
		run.Deployment().Target(path).SetFaults(standin.TargetFaults{SilentConnections: true})
	}
	run.RunLoad(load)
	before := run.Deployment().Totals().Exchanges
	r := run.RunLoad(load)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
	assert.Greater(t, run.Deployment().Totals().Exchanges, before)
}

// TestActionsRunAtMostOnce sends the same requests again and again, at the host
// to which they are pinned and at others, and over a restart.
func TestActionsRunAtMostOnce(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: 5 * time.Millisecond, StartWarm: true}})
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	first := run.Daemons()[0].CallerAddress()
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
	ran := run.Deployment().Totals().Actions
	assert.Equal(t, 50, ran)
	for i := range 50 {
		o, err := client.SubmitAction(ctx, first, action(i))
		require.NoError(t, err)
		assert.True(t, o.Replayed)
	}
	_, err = client.SubmitAction(ctx, run.Daemons()[1].CallerAddress(), action(0))
	var refusal *caller.ResponseError
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "another host cannot tell")
	late := action(99)
	late.StampMs = ticket.StampMs + 3_600_000
	_, err = client.SubmitAction(ctx, first, late)
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "the ticket is not valid")
	assert.Equal(t, ran, run.Deployment().Totals().Actions)
	assert.Zero(t, run.Deployment().Totals().Repeated)
}

// TestActionWhoseAnswerIsLostIsUnknown makes targets close connections instead
// of answering.
func TestActionWhoseAnswerIsLostIsUnknown(t *testing.T) {
	run := start(t, trial.Options{Hosts: 1, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	for _, path := range run.Deployment().TargetPaths()[:2] {
		run.Deployment().Target(path).SetFaults(standin.TargetFaults{ResetConnections: true})
	}
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	address := run.Daemons()[0].CallerAddress()
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

// TestCallersAreSpreadEvenly asks for addresses very often: the first host
// named is each of them about as often.
func TestCallersAreSpreadEvenly(t *testing.T) {
	run := start(t, trial.Options{Hosts: 6})
	const asked = 18_000
	first := map[string]int{}
	client := caller.NewClient("")
	defer client.Close()
	for i := range asked {
		var a struct{ Hosts []caller.Address }
		address := run.Daemons()[i%6].CallerAddress()
		require.NoError(t, client.GetJSON(context.Background(), address, "/v1/hosts", &a))
		require.Len(t, a.Hosts, 6)
		first[a.Hosts[0].ID]++
	}
	for id, n := range first {
		assert.InDelta(t, asked/6, n, asked/6*0.1, id)
	}
}

// TestLostTargetsAreFoundAgain loses both targets of a service and brings them
// back.
func TestLostTargetsAreFoundAgain(t *testing.T) {
	run := start(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	load := trial.Load{Rate: 50, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	both := run.Deployment().TargetPaths()[:2]
	for _, path := range both {
		run.Deployment().Server(path).Stop()
	}
	time.Sleep(500 * time.Millisecond)
	r := run.RunLoad(load)
	assert.Less(t, r.Coverage(), 1.0)
	for _, path := range both {
		require.NoError(t, run.Deployment().Server(path).Start())
	}
	time.Sleep(time.Second)
	r = run.RunLoad(load)
	assert.Equal(t, 1.0, r.Coverage(), r.MissingReasons)
}

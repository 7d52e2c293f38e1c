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
	run := startTrial(t, trial.Options{Hosts: 3})
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
	r := run.Run(trial.Load{Rate: 100, Duration: 3 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.OneSnapshot})
	close(stop)
	changing.Wait()
	assert.Empty(t, r.Violations)
	assert.Positive(t, r.Answered)
	assert.Greater(t, r.Coverage(), 0.9, r.Missing)
	assert.Positive(t, run.Counter("restarts-newer-snapshot"), "some search had to start again")
}

// TestSnapshotDroppedAtOnce makes every target drop the snapshot that the
// entries know, so that each must learn of the new one from a refusal.
func TestSnapshotDroppedAtOnce(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 3})
	load := trial.Load{Rate: 50, Duration: 500 * time.Millisecond, Scopes: []string{"dispatch-desk"}, Seed: 1, Check: trial.OneSnapshot}
	run.Run(load)
	run.Deployment().SetSnapshots(9)
	r := run.Run(load)
	assert.Empty(t, r.Violations)
	assert.Equal(t, 1.0, r.Coverage(), r.Missing)
	assert.Equal(t, 9, r.Sample[0].Coverage.Snapshot)
}

func TestEvacuatedDataCentreGetsNoNewWork(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 3})
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.Run(load)
	settings := run.Deployment().Settings()
	out := strings.Replace(settings, "[data-centres.khomas-b]\nstate = \"in\"", "[data-centres.khomas-b]\nstate = \"out\"", 1)
	require.NotEqual(t, settings, out)
	require.NoError(t, run.Apply(out))
	require.Eventually(t, func() bool { return allAtRevision(run, 2) }, 4*time.Second, 10*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	before := exchanges(run, "khomas-b")
	r := run.Run(load)
	assert.Equal(t, before, exchanges(run, "khomas-b"), "its targets got new work")
	assert.Empty(t, r.Refused)
	assert.Equal(t, 1.0, r.Coverage(), "replicas elsewhere cover it: %v", r.Missing)
	for _, d := range run.Daemons() {
		var a struct{ Hosts []caller.Address }
		client := caller.NewClient("")
		require.NoError(t, client.Fetch(context.Background(), d.CallerAddress(), "/v1/hosts", &a))
		for _, h := range a.Hosts {
			assert.NotEqual(t, "khomas-b", h.DataCentre, "its hosts are handed out")
		}
		client.Close()
	}
	require.NoError(t, run.Apply(settings))
	require.Eventually(t, func() bool { return allAtRevision(run, 3) }, 4*time.Second, 10*time.Millisecond)
	require.NoError(t, run.AwaitReady())
	run.Run(load)
	assert.Greater(t, exchanges(run, "khomas-b"), before, "it takes work again")
	assert.Zero(t, run.Deployment().Totals().ColdOverruns)
}

func allAtRevision(run *trial.Trial, revision int) bool {
	for _, d := range run.Daemons() {
		if d.Revision() < revision {
			return false
		}
	}
	return true
}

func exchanges(run *trial.Trial, dataCentre string) int {
	sum := 0
	for _, path := range run.Deployment().Paths() {
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
	run := startTrial(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{Base: time.Millisecond, Warm: true}})
	load := trial.Load{Rate: 300, Duration: 2 * time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.Run(load)
	run.Store().SetFaults(standin.StoreFaults{Out: true})
	time.Sleep(3 * time.Second)
	cold := run.Deployment().Paths()[0]
	run.Deployment().Target(cold).TurnCold(true)
	time.Sleep(1200 * time.Millisecond)
	before := run.Deployment().Target(cold).Counts().Exchanges
	load.Rate = 20
	r := run.Run(load)
	assert.Equal(t, before, run.Deployment().Target(cold).Counts().Exchanges, "an unproven owner gave a cold target work")
	assert.Equal(t, 1.0, r.Coverage(), r.Missing)
	assert.Empty(t, r.Refused)
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
	run := startTrial(t, trial.Options{Hosts: 2, Target: standin.TargetOptions{Base: time.Millisecond, Warm: true}})
	load := trial.Load{Rate: 100, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	run.Run(load)
	for _, path := range run.Deployment().Paths()[:4] {
		run.Deployment().Target(path).SetFaults(standin.TargetFaults{Silent: true})
	}
	run.Run(load)
	before := run.Deployment().Totals().Exchanges
	r := run.Run(load)
	assert.Equal(t, 1.0, r.Coverage(), r.Missing)
	assert.Greater(t, run.Deployment().Totals().Exchanges, before)
}

// TestActionsRunAtMostOnce sends the same requests again and again, at the host
// to which they are pinned and at others, and over a restart.
func TestActionsRunAtMostOnce(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{Base: 5 * time.Millisecond, Warm: true}})
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	first := run.Daemons()[0].CallerAddress()
	ticket, err := client.Ticket(ctx, first)
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
			senders.Go(func() { _, _ = client.Act(ctx, first, action(i)) })
		}
	}
	senders.Wait()
	ran := run.Deployment().Totals().Actions
	assert.Equal(t, 50, ran)
	for i := range 50 {
		o, err := client.Act(ctx, first, action(i))
		require.NoError(t, err)
		assert.True(t, o.Replayed)
	}
	_, err = client.Act(ctx, run.Daemons()[1].CallerAddress(), action(0))
	var refusal *caller.Refusal
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "another host cannot tell")
	late := action(99)
	late.StampMs = ticket.StampMs + 3_600_000
	_, err = client.Act(ctx, first, late)
	require.True(t, errors.As(err, &refusal), err)
	assert.Equal(t, "outcome-unknown", refusal.Kind(), "the ticket is not valid")
	assert.Equal(t, ran, run.Deployment().Totals().Actions)
	assert.Zero(t, run.Deployment().Totals().Repeated)
}

// TestActionWithLostAnswerHasUnknownOutcome makes targets close connections instead
// of answering.
func TestActionWithLostAnswerHasUnknownOutcome(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 1, Target: standin.TargetOptions{Base: time.Millisecond, Warm: true}})
	for _, path := range run.Deployment().Paths()[:2] {
		run.Deployment().Target(path).SetFaults(standin.TargetFaults{Reset: true})
	}
	client := caller.NewClient("")
	defer client.Close()
	ctx := context.Background()
	address := run.Daemons()[0].CallerAddress()
	ticket, err := client.Ticket(ctx, address)
	require.NoError(t, err)
	a := caller.Action{
		Service: "dispatch-desk/dispatch-desk-01", Operation: "hold", Item: "lot",
		IdempotencyKey: "order-4711", Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
	}
	for range 2 {
		_, err = client.Act(ctx, address, a)
		var refusal *caller.Refusal
		require.True(t, errors.As(err, &refusal), err)
		assert.Equal(t, "outcome-unknown", refusal.Kind())
	}
}

// TestCallersAreSpreadEvenly asks for addresses very often: the first host
// named is each of them about as often.
func TestCallersAreSpreadEvenly(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 6})
	const asked = 18_000
	first := map[string]int{}
	client := caller.NewClient("")
	defer client.Close()
	for i := range asked {
		var a struct{ Hosts []caller.Address }
		address := run.Daemons()[i%6].CallerAddress()
		require.NoError(t, client.Fetch(context.Background(), address, "/v1/hosts", &a))
		require.Len(t, a.Hosts, 6)
		first[a.Hosts[0].ID]++
	}
	for id, n := range first {
		assert.InDelta(t, asked/6, n, asked/6*0.1, id)
	}
}

// TestLostTargetsRecover loses both targets of a service and brings them
// back.
func TestLostTargetsRecover(t *testing.T) {
	run := startTrial(t, trial.Options{Hosts: 3, Target: standin.TargetOptions{Base: time.Millisecond, Warm: true}})
	load := trial.Load{Rate: 50, Duration: time.Second, Scopes: []string{"dispatch-desk"}, Seed: 1}
	both := run.Deployment().Paths()[:2]
	for _, path := range both {
		run.Deployment().Server(path).Stop()
	}
	time.Sleep(500 * time.Millisecond)
	r := run.Run(load)
	assert.Less(t, r.Coverage(), 1.0)
	for _, path := range both {
		require.NoError(t, run.Deployment().Server(path).Start())
	}
	time.Sleep(time.Second)
	r = run.Run(load)
	assert.Equal(t, 1.0, r.Coverage(), r.Missing)
}

package trial_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/caller"
	"fescuerill/internal/invariant"
	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

var (
	seed     = flag.Uint64("seed", 1, "seed of the randomised run")
	duration = flag.Duration("duration", 6*time.Second, "length of the randomised run on the fake clock")
)

// faultInjector injects random, overlapping faults into a deployment.
type faultInjector struct {
	t              *testing.T
	cluster        *trial.Cluster
	random         *rand.Rand
	injected       map[string]int
	latestSnapshot int
	hostsAdded     int
}

// fault is a kind of fault that can be injected.
type fault struct {
	name string
	// inject injects the fault and returns a function that ends it, or nil if the
	// fault does not last.
	inject func(fi *faultInjector) (undo func())
}

func (fi *faultInjector) randomTarget() *standin.Target {
	return fi.cluster.Deployment().Target(fi.randomPath())
}

// randomPath returns the path of a random target.
func (fi *faultInjector) randomPath() string {
	paths := fi.cluster.Deployment().TargetPaths()
	return paths[fi.random.IntN(len(paths))]
}

// breakTarget sets the faults of a random target and returns a function that
// clears them.
func (fi *faultInjector) breakTarget(f standin.TargetFaults) func() {
	target := fi.randomTarget()
	target.SetFaults(f)
	return func() { target.SetFaults(standin.TargetFaults{}) }
}

func faults() []fault {
	return []fault{
		{"target-slow", func(fi *faultInjector) func() { return fi.breakTarget(standin.TargetFaults{LatencyFactor: 10}) }},
		{"target-silent", func(fi *faultInjector) func() { return fi.breakTarget(standin.TargetFaults{SilentConnections: true}) }},
		{"target-resets", func(fi *faultInjector) func() { return fi.breakTarget(standin.TargetFaults{ResetConnections: true}) }},
		{"target-reports-falsely", func(fi *faultInjector) func() { return fi.breakTarget(standin.TargetFaults{FalseReport: true}) }},
		{"target-leaves", func(fi *faultInjector) func() { return fi.breakTarget(standin.TargetFaults{Leaving: true}) }},
		{"target-turns-cold", func(fi *faultInjector) func() { fi.randomTarget().TurnCold(false); return nil }},
		{"target-restarts", func(fi *faultInjector) func() { fi.randomTarget().TurnCold(true); return nil }},
		{"target-lost", func(fi *faultInjector) func() {
			path := fi.randomPath()
			fi.cluster.Deployment().Server(path).Stop()
			return func() {
				fi.cluster.Deployment().Target(path).TurnCold(true)
				if err := fi.cluster.Deployment().Server(path).Start(); err != nil {
					fi.t.Logf("%s: %v", path, err)
				}
			}
		}},
		{"snapshot", func(fi *faultInjector) func() {
			fi.latestSnapshot++
			fi.cluster.Deployment().SetSnapshots(fi.latestSnapshot-1, fi.latestSnapshot)
			return nil
		}},
		{"store-out", func(fi *faultInjector) func() {
			fi.cluster.Store().SetFaults(standin.StoreFaults{Unavailable: true})
			return func() { fi.cluster.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-loses-replies", func(fi *faultInjector) func() {
			fi.cluster.Store().SetFaults(standin.StoreFaults{LoseReplies: true})
			return func() { fi.cluster.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-slow", func(fi *faultInjector) func() {
			fi.cluster.Store().SetFaults(standin.StoreFaults{Delay: 300 * time.Millisecond})
			return func() { fi.cluster.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"hosts-partitioned", func(fi *faultInjector) func() { return fi.partition(fi.randomHost(), fi.randomHost()) }},
		{"host-partitioned-from-store", func(fi *faultInjector) func() { return fi.partition(fi.randomHost(), "store") }},
		{"host-partitioned-from-targets", func(fi *faultInjector) func() { return fi.partition(fi.randomHost(), "khomas-a") }},
		{"host-crash", func(fi *faultInjector) func() { fi.endDaemon(func(d stopper) { d.Kill() }); return fi.startDaemon }},
		{"host-stop", func(fi *faultInjector) func() {
			fi.endDaemon(func(d stopper) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				d.Stop(ctx)
			})
			return fi.startDaemon
		}},
	}
}

func (fi *faultInjector) randomHost() string {
	all := fi.cluster.Daemons()
	return all[fi.random.IntN(len(all))].ID()
}

// partition blocks traffic between two endpoints. The function that it returns
// removes all partitions.
func (fi *faultInjector) partition(a, b string) func() {
	if a == b {
		return nil
	}
	fi.cluster.Memory().Partition(a, b)
	return fi.cluster.Memory().Heal
}

type stopper interface {
	Kill()
	Stop(ctx context.Context)
}

// endDaemon ends a random daemon with the given function, unless only two are
// left.
func (fi *faultInjector) endDaemon(end func(d stopper)) {
	all := fi.cluster.Daemons()
	if len(all) <= 2 {
		return
	}
	d := all[fi.random.IntN(len(all))]
	end(d)
	fi.cluster.RemoveDaemon(d)
}

// startDaemon starts a daemon in a random data centre if fewer than four are
// running.
func (fi *faultInjector) startDaemon() {
	if len(fi.cluster.Daemons()) >= 4 {
		return
	}
	fi.hostsAdded++
	_, err := fi.cluster.StartDaemon(fmt.Sprintf("later-%d", fi.hostsAdded), []string{"khomas-a", "khomas-b", "khomas-c"}[fi.random.IntN(3)])
	require.NoError(fi.t, err)
}

// injectFaults injects random faults for the duration, one every 50 ms to 350 ms.
// Each lasts for up to four seconds, so that several overlap.
func (fi *faultInjector) injectFaults(d time.Duration) {
	type scheduledUndo struct {
		at   time.Time
		undo func()
	}
	var pending []scheduledUndo
	all := faults()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f := all[fi.random.IntN(len(all))]
		fi.injected[f.name]++
		if undo := f.inject(fi); undo != nil {
			pending = append(pending, scheduledUndo{time.Now().Add(time.Duration(fi.random.IntN(4000)) * time.Millisecond), undo})
		}
		time.Sleep(time.Duration(50+fi.random.IntN(300)) * time.Millisecond)
		kept := pending[:0]
		for _, p := range pending {
			if time.Now().After(p.at) {
				p.undo()
			} else {
				kept = append(kept, p)
			}
		}
		pending = kept
	}
	for _, p := range pending {
		p.undo()
	}
}

// TestRandomised injects random faults under load and checks the invariants: at
// the targets (no cold target over capacity, no action run twice), in the answers
// to callers (one snapshot, true coverage), and in the program itself.
func TestRandomised(t *testing.T) {
	t.Logf("seed %d, duration %s", *seed, *duration)
	withFakeClock(t, trial.Options{Hosts: 4, Target: standin.TargetOptions{ColdLatencyFactor: 3, Seed: *seed}}, runRandomised)
}

func runRandomised(t *testing.T, cluster *trial.Cluster) {
	injector := &faultInjector{t: t, cluster: cluster, random: rand.New(rand.NewPCG(*seed, 11)), injected: map[string]int{}, latestSnapshot: 1}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	results := map[string]int{}
	for i := range 12 {
		callers.Go(func() {
			sendRequests(cluster, i, stop, func(result string) {
				mu.Lock()
				defer mu.Unlock()
				results[result]++
			})
		})
	}
	injector.injectFaults(*duration)
	close(stop)
	callers.Wait()
	totals := cluster.Deployment().Totals()
	t.Logf("faults %v, results %v, targets %+v", injector.injected, results, totals)
	assert.Zero(t, totals.ColdOverruns, "cold target over capacity")
	assert.Zero(t, totals.Repeated, "an action ran twice")
	assert.Zero(t, results["violation"], "an answer mixed snapshots or misstated its coverage")
	assert.Zero(t, invariant.Violations())
	assert.Positive(t, results["answered"])
}

// sendRequests sends requests in a loop until stop is closed: nine searches, then
// one action. It passes the result of each to count.
func sendRequests(cluster *trial.Cluster, callerNumber int, stop chan struct{}, count func(string)) {
	client := cluster.NewCaller()
	defer client.Close()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		hosts, err := client.Hosts(ctx)
		switch {
		case err != nil:
			count("no-host")
			time.Sleep(50 * time.Millisecond)
		case i%10 == 9:
			sendAction(ctx, client, hosts[0].Address, fmt.Sprintf("caller-%d-request-%d", callerNumber, i), count)
		default:
			sendSearch(ctx, client, hosts[0].Address, count)
		}
		cancel()
		time.Sleep(5 * time.Millisecond)
	}
}

// sendSearch sends a search and checks that the hits come from one snapshot and
// from shards listed as covered, and that no shard is both covered and missing.
func sendSearch(ctx context.Context, client *caller.Client, address string, count func(string)) {
	scope := "dispatch-desk"
	a, err := client.SearchHost(ctx, address, caller.Search{Terms: "snapshot target", Scope: &scope})
	if err != nil {
		count("refused-or-lost")
		return
	}
	count("answered")
	covered := map[string]bool{}
	for _, name := range a.Coverage.Covered {
		covered[name] = true
	}
	for _, m := range a.Coverage.Missing {
		count("missing-" + m.Reason)
		if covered[m.Shard] {
			count("violation")
		}
	}
	for _, h := range a.Hits {
		if !covered[h.Shard] {
			count("violation")
		}
	}
	if trial.CheckOneSnapshot(a) != "" {
		count("violation")
	}
}

// sendAction sends the same action three times.
func sendAction(ctx context.Context, client *caller.Client, address, key string, count func(string)) {
	ticket, err := client.RequestTicket(ctx, address)
	if err != nil {
		count("no-ticket")
		return
	}
	a := caller.Action{
		Service: "dispatch-desk/dispatch-desk-02", Operation: "hold", Item: key,
		IdempotencyKey: key, Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
	}
	for range 3 {
		if _, err := client.SubmitAction(ctx, address, a); err == nil {
			count("acted")
		} else {
			count("not-acted")
		}
	}
}

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
	duration = flag.Duration("duration", 6*time.Second, "length of the randomised run, by the paused clock")
)

// faultInjector brings faults about in a deployment, at random and together.
type faultInjector struct {
	t              *testing.T
	trial          *trial.Trial
	random         *rand.Rand
	injected       map[string]int
	latestSnapshot int
	hostsAdded     int
}

// fault is one thing that can go wrong; it returns how to mend it, or nil.
type fault struct {
	name   string
	inject func(c *faultInjector) (mend func())
}

func (c *faultInjector) randomTarget() *standin.Target {
	return c.trial.Deployment().Target(c.randomPath())
}

func (c *faultInjector) randomPath() string {
	paths := c.trial.Deployment().Paths()
	return paths[c.random.IntN(len(paths))]
}

// breakTarget sets the faults of a random target for a while.
func (c *faultInjector) breakTarget(f standin.TargetFaults) func() {
	b := c.randomTarget()
	b.SetFaults(f)
	return func() { b.SetFaults(standin.TargetFaults{}) }
}

func faults() []fault {
	return []fault{
		{"target-slow", func(c *faultInjector) func() { return c.breakTarget(standin.TargetFaults{Slow: 10}) }},
		{"target-silent", func(c *faultInjector) func() { return c.breakTarget(standin.TargetFaults{Silent: true}) }},
		{"target-resets", func(c *faultInjector) func() { return c.breakTarget(standin.TargetFaults{Reset: true}) }},
		{"target-lies", func(c *faultInjector) func() { return c.breakTarget(standin.TargetFaults{Lie: true}) }},
		{"target-leaves", func(c *faultInjector) func() { return c.breakTarget(standin.TargetFaults{Leaving: true}) }},
		{"target-turns-cold", func(c *faultInjector) func() { c.randomTarget().TurnCold(false); return nil }},
		{"target-restarts", func(c *faultInjector) func() { c.randomTarget().TurnCold(true); return nil }},
		{"target-lost", func(c *faultInjector) func() {
			path := c.randomPath()
			c.trial.Deployment().Server(path).Stop()
			return func() {
				c.trial.Deployment().Target(path).TurnCold(true)
				if err := c.trial.Deployment().Server(path).Start(); err != nil {
					c.t.Logf("%s: %v", path, err)
				}
			}
		}},
		{"snapshot", func(c *faultInjector) func() {
			c.latestSnapshot++
			c.trial.Deployment().SetSnapshots(c.latestSnapshot-1, c.latestSnapshot)
			return nil
		}},
		{"store-out", func(c *faultInjector) func() {
			c.trial.Store().SetFaults(standin.StoreFaults{Out: true})
			return func() { c.trial.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-loses-answers", func(c *faultInjector) func() {
			c.trial.Store().SetFaults(standin.StoreFaults{LoseReplies: true})
			return func() { c.trial.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-slow", func(c *faultInjector) func() {
			c.trial.Store().SetFaults(standin.StoreFaults{Delay: 300 * time.Millisecond})
			return func() { c.trial.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"hosts-cut", func(c *faultInjector) func() { return c.partition(c.randomHost(), c.randomHost()) }},
		{"host-cut-from-store", func(c *faultInjector) func() { return c.partition(c.randomHost(), "store") }},
		{"host-cut-from-targets", func(c *faultInjector) func() { return c.partition(c.randomHost(), "khomas-a") }},
		{"host-crash", func(c *faultInjector) func() { c.endDaemon(func(d stopper) { d.Kill() }); return c.startDaemon }},
		{"host-stop", func(c *faultInjector) func() {
			c.endDaemon(func(d stopper) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				d.Stop(ctx)
			})
			return c.startDaemon
		}},
	}
}

func (c *faultInjector) randomHost() string {
	all := c.trial.Daemons()
	return all[c.random.IntN(len(all))].ID()
}

// partition cuts two parties off from each other; mending ends all cuts.
func (c *faultInjector) partition(a, b string) func() {
	if a == b {
		return nil
	}
	c.trial.Memory().Cut(a, b)
	return c.trial.Memory().Heal
}

type stopper interface {
	Kill()
	Stop(ctx context.Context)
}

// endDaemon ends a random daemon, as long as two are left.
func (c *faultInjector) endDaemon(how func(d stopper)) {
	all := c.trial.Daemons()
	if len(all) <= 2 {
		return
	}
	d := all[c.random.IntN(len(all))]
	how(d)
	c.trial.Forget(d)
}

// startDaemon starts a daemon, if fewer than four run.
func (c *faultInjector) startDaemon() {
	if len(c.trial.Daemons()) >= 4 {
		return
	}
	c.hostsAdded++
	_, err := c.trial.StartDaemon(fmt.Sprintf("later-%d", c.hostsAdded), []string{"khomas-a", "khomas-b", "khomas-c"}[c.random.IntN(3)])
	require.NoError(c.t, err)
}

// injectFaults brings one fault after another about until the time is over. Each
// lasts for up to two seconds, so that often two or three are there at once.
func (c *faultInjector) injectFaults(d time.Duration) {
	type mending struct {
		at   time.Time
		mend func()
	}
	var pending []mending
	all := faults()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f := all[c.random.IntN(len(all))]
		c.injected[f.name]++
		if mend := f.inject(c); mend != nil {
			pending = append(pending, mending{time.Now().Add(time.Duration(c.random.IntN(4000)) * time.Millisecond), mend})
		}
		time.Sleep(time.Duration(50+c.random.IntN(300)) * time.Millisecond)
		kept := pending[:0]
		for _, p := range pending {
			if time.Now().After(p.at) {
				p.mend()
			} else {
				kept = append(kept, p)
			}
		}
		pending = kept
	}
	for _, p := range pending {
		p.mend()
	}
}

// TestRandomised brings faults about under load and asserts what must always
// hold, on the side of the targets, on that of the callers and in the program.
// The parts are joined in memory, and the clock stands still while anything is
// to do.
func TestRandomised(t *testing.T) {
	t.Logf("seed %d, duration %s", *seed, *duration)
	withFakeClock(t, trial.Options{Hosts: 4, Target: standin.TargetOptions{ColdFactor: 3, Seed: *seed}}, runRandomised)
}

func runRandomised(t *testing.T, run *trial.Trial) {
	c := &faultInjector{t: t, trial: run, random: rand.New(rand.NewPCG(*seed, 11)), injected: map[string]int{}, latestSnapshot: 1}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	seen := map[string]int{}
	for i := range 12 {
		callers.Go(func() {
			sendRequests(run, i, stop, func(what string) {
				mu.Lock()
				defer mu.Unlock()
				seen[what]++
			})
		})
	}
	c.injectFaults(*duration)
	close(stop)
	callers.Wait()
	totals := run.Deployment().Totals()
	t.Logf("faults %v, callers saw %v, targets %+v", c.injected, seen, totals)
	assert.Zero(t, totals.ColdOverruns, "a cold target got more than it bears")
	assert.Zero(t, totals.Repeated, "a request ran twice")
	assert.Zero(t, seen["violation"], "an answer mixed snapshots or misstated its coverage")
	assert.Zero(t, invariant.Violations())
	assert.Positive(t, seen["answered"])
}

// sendRequests asks again and again, a search or a request that must run once, and
// tells what became of it.
func sendRequests(run *trial.Trial, n int, stop chan struct{}, tell func(string)) {
	client := run.Caller()
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
			tell("no-host")
			time.Sleep(50 * time.Millisecond)
		case i%10 == 9:
			sendAction(ctx, client, hosts[0].Address, fmt.Sprintf("caller-%d-request-%d", n, i), tell)
		default:
			sendSearch(ctx, client, hosts[0].Address, tell)
		}
		cancel()
		time.Sleep(5 * time.Millisecond)
	}
}

func sendSearch(ctx context.Context, client *caller.Client, address string, tell func(string)) {
	scope := "dispatch-desk"
	a, err := client.Ask(ctx, address, caller.Search{Terms: "snapshot target", Scope: &scope})
	if err != nil {
		tell("refused-or-lost")
		return
	}
	tell("answered")
	shards := map[string]bool{}
	for _, name := range a.Coverage.Covered {
		shards[name] = true
	}
	for _, m := range a.Coverage.Missing {
		tell("missing-" + m.Reason)
		if shards[m.Shard] {
			tell("violation")
		}
	}
	for _, h := range a.Hits {
		if !shards[h.Shard] {
			tell("violation")
		}
	}
	if trial.OneSnapshot(a) != "" {
		tell("violation")
	}
}

// sendAction sends a request that must run once three times.
func sendAction(ctx context.Context, client *caller.Client, address, key string, tell func(string)) {
	ticket, err := client.Ticket(ctx, address)
	if err != nil {
		tell("no-ticket")
		return
	}
	a := caller.Action{
		Service: "dispatch-desk/dispatch-desk-02", Operation: "hold", Item: key,
		IdempotencyKey: key, Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
	}
	for range 3 {
		if _, err := client.Act(ctx, address, a); err == nil {
			tell("acted")
		} else {
			tell("not-acted")
		}
	}
}

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

// chaos brings faults about in a deployment, at random and together.
type chaos struct {
	t      *testing.T
	run    *trial.Cluster
	random *rand.Rand
	faults map[string]int
	latest int
	hosts  int
}

// fault is one thing that can go wrong; it returns how to mend it, or nil.
type fault struct {
	name string
	do   func(c *chaos) (mend func())
}

func (c *chaos) target() *standin.Target { return c.run.Deployment().Target(c.path()) }

func (c *chaos) path() string {
	paths := c.run.Deployment().TargetPaths()
	return paths[c.random.IntN(len(paths))]
}

// with sets the faults of a random target for a while.
func (c *chaos) with(f standin.TargetFaults) func() {
	b := c.target()
	b.SetFaults(f)
	return func() { b.SetFaults(standin.TargetFaults{}) }
}

func faults() []fault {
	return []fault{
		{"target-slow", func(c *chaos) func() { return c.with(standin.TargetFaults{LatencyFactor: 10}) }},
		{"target-silent", func(c *chaos) func() { return c.with(standin.TargetFaults{SilentConnections: true}) }},
		{"target-resets", func(c *chaos) func() { return c.with(standin.TargetFaults{ResetConnections: true}) }},
		{"target-lies", func(c *chaos) func() { return c.with(standin.TargetFaults{FalseReport: true}) }},
		{"target-leaves", func(c *chaos) func() { return c.with(standin.TargetFaults{Leaving: true}) }},
		{"target-turns-cold", func(c *chaos) func() { c.target().TurnCold(false); return nil }},
		{"target-restarts", func(c *chaos) func() { c.target().TurnCold(true); return nil }},
		{"target-lost", func(c *chaos) func() {
			path := c.path()
			c.run.Deployment().Server(path).Stop()
			return func() {
				c.run.Deployment().Target(path).TurnCold(true)
				if err := c.run.Deployment().Server(path).Start(); err != nil {
					c.t.Logf("%s: %v", path, err)
				}
			}
		}},
		{"snapshot", func(c *chaos) func() {
			c.latest++
			c.run.Deployment().SetSnapshots(c.latest-1, c.latest)
			return nil
		}},
		{"store-out", func(c *chaos) func() {
			c.run.Store().SetFaults(standin.StoreFaults{Unavailable: true})
			return func() { c.run.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-loses-answers", func(c *chaos) func() {
			c.run.Store().SetFaults(standin.StoreFaults{LoseReplies: true})
			return func() { c.run.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"store-slow", func(c *chaos) func() {
			c.run.Store().SetFaults(standin.StoreFaults{Delay: 300 * time.Millisecond})
			return func() { c.run.Store().SetFaults(standin.StoreFaults{}) }
		}},
		{"hosts-cut", func(c *chaos) func() { return c.cut(c.host(), c.host()) }},
		{"host-cut-from-store", func(c *chaos) func() { return c.cut(c.host(), "store") }},
		{"host-cut-from-targets", func(c *chaos) func() { return c.cut(c.host(), "khomas-a") }},
		{"host-crash", func(c *chaos) func() { c.end(func(d stopper) { d.Kill() }); return c.start }},
		{"host-stop", func(c *chaos) func() {
			c.end(func(d stopper) {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				d.Stop(ctx)
			})
			return c.start
		}},
	}
}

func (c *chaos) host() string {
	all := c.run.Daemons()
	return all[c.random.IntN(len(all))].ID()
}

// cut cuts two parties off from each other; mending ends all cuts.
func (c *chaos) cut(a, b string) func() {
	if a == b {
		return nil
	}
	c.run.Memory().Partition(a, b)
	return c.run.Memory().Heal
}

type stopper interface {
	Kill()
	Stop(ctx context.Context)
}

// end ends a random daemon, as long as two are left.
func (c *chaos) end(how func(d stopper)) {
	all := c.run.Daemons()
	if len(all) <= 2 {
		return
	}
	d := all[c.random.IntN(len(all))]
	how(d)
	c.run.RemoveDaemon(d)
}

// start starts a daemon, if fewer than four run.
func (c *chaos) start() {
	if len(c.run.Daemons()) >= 4 {
		return
	}
	c.hosts++
	_, err := c.run.StartDaemon(fmt.Sprintf("later-%d", c.hosts), []string{"khomas-a", "khomas-b", "khomas-c"}[c.random.IntN(3)])
	require.NoError(c.t, err)
}

// rampage brings one fault after another about until the time is over. Each
// lasts for up to two seconds, so that often two or three are there at once.
func (c *chaos) rampage(d time.Duration) {
	type mending struct {
		at   time.Time
		mend func()
	}
	var pending []mending
	all := faults()
	for end := time.Now().Add(d); time.Now().Before(end); {
		f := all[c.random.IntN(len(all))]
		c.faults[f.name]++
		if mend := f.do(c); mend != nil {
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
	paused(t, trial.Options{Hosts: 4, Target: standin.TargetOptions{ColdLatencyFactor: 3, Seed: *seed}}, randomised)
}

func randomised(t *testing.T, run *trial.Cluster) {
	c := &chaos{t: t, run: run, random: rand.New(rand.NewPCG(*seed, 11)), faults: map[string]int{}, latest: 1}
	var callers sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	seen := map[string]int{}
	for i := range 12 {
		callers.Go(func() {
			search(run, i, stop, func(what string) {
				mu.Lock()
				defer mu.Unlock()
				seen[what]++
			})
		})
	}
	c.rampage(*duration)
	close(stop)
	callers.Wait()
	totals := run.Deployment().Totals()
	t.Logf("faults %v, callers saw %v, targets %+v", c.faults, seen, totals)
	assert.Zero(t, totals.ColdOverruns, "a cold target got more than it bears")
	assert.Zero(t, totals.Repeated, "a request ran twice")
	assert.Zero(t, seen["violation"], "an answer mixed snapshots or misstated its coverage")
	assert.Zero(t, invariant.Violations())
	assert.Positive(t, seen["answered"])
}

// search asks again and again, a search or a request that must run once, and
// tells what became of it.
func search(run *trial.Cluster, n int, stop chan struct{}, tell func(string)) {
	client := run.NewCaller()
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
			act(ctx, client, hosts[0].Address, fmt.Sprintf("caller-%d-request-%d", n, i), tell)
		default:
			one(ctx, client, hosts[0].Address, tell)
		}
		cancel()
		time.Sleep(5 * time.Millisecond)
	}
}

func one(ctx context.Context, client *caller.Client, address string, tell func(string)) {
	scope := "dispatch-desk"
	a, err := client.SearchHost(ctx, address, caller.Search{Terms: "snapshot target", Scope: &scope})
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
	if trial.CheckOneSnapshot(a) != "" {
		tell("violation")
	}
}

// act sends a request that must run once three times.
func act(ctx context.Context, client *caller.Client, address, key string, tell func(string)) {
	ticket, err := client.RequestTicket(ctx, address)
	if err != nil {
		tell("no-ticket")
		return
	}
	a := caller.Action{
		Service: "dispatch-desk/dispatch-desk-02", Operation: "hold", Item: key,
		IdempotencyKey: key, Incarnation: ticket.Incarnation, StampMs: ticket.StampMs,
	}
	for range 3 {
		if _, err := client.SubmitAction(ctx, address, a); err == nil {
			tell("acted")
		} else {
			tell("not-acted")
		}
	}
}

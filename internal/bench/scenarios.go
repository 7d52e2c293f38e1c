package bench

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"fescuerill/internal/invariant"
	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// Sizes of the scenarios.
const (
	scenarioHosts = 6
	calmRate      = 150.0
	surgeRate     = 1500.0
	scenarioTime  = 4 * time.Second
	faultAfter    = time.Second
)

// scenario is something that happens to a deployment under load.
type scenario struct {
	name string
	rate float64
	// cold starts the targets cold.
	cold bool
	// before runs ahead of the load, during one second into it.
	before, during func(d *standin.Deployment, random *rand.Rand)
}

func scenarios() []scenario {
	return []scenario{
		{name: "calm", rate: calmRate},
		{name: "one straggler in 100 (10x)", rate: calmRate, before: slow(1, 10)},
		{name: "5 % of replicas lost", rate: calmRate, during: func(d *standin.Deployment, random *rand.Rand) {
			some(d, random, len(d.TargetPaths())/20, func(path string) { d.Server(path).Stop() })
		}},
		{name: "surge, all targets cold", rate: surgeRate, cold: true},
		{name: "5 % turn cold unannounced", rate: calmRate, during: func(d *standin.Deployment, random *rand.Rand) {
			some(d, random, len(d.TargetPaths())/20, func(path string) { d.Target(path).TurnCold(false) })
		}},
		{name: "10 % of connections silent", rate: calmRate, during: func(d *standin.Deployment, random *rand.Rand) {
			some(d, random, len(d.TargetPaths())/10, func(path string) { d.Target(path).SetFaults(standin.TargetFaults{SilentConnections: true}) })
		}},
	}
}

func slow(n int, factor float64) func(*standin.Deployment, *rand.Rand) {
	return func(d *standin.Deployment, random *rand.Rand) {
		some(d, random, n, func(path string) { d.Target(path).SetFaults(standin.TargetFaults{LatencyFactor: factor}) })
	}
}

// some calls f with n different targets of services that have two.
func some(d *standin.Deployment, random *rand.Rand, n int, f func(path string)) {
	paths := d.TargetPaths()
	seen := map[string]bool{}
	for _, i := range random.Perm(len(paths)) {
		service := paths[i][:len(paths[i])-2]
		if n == 0 {
			return
		}
		if !seen[service] {
			seen[service] = true
			f(paths[i])
			n--
		}
	}
}

// Scenarios runs each scenario without and with the policies, from the same
// seed, and writes a table.
func Scenarios(w io.Writer, shape standin.Shape, seed uint64) error {
	fmt.Fprintf(w, "| scenario | policies | searches | p50 ms | p99 ms | p99.9 ms | coverage | whole | refused | extra load | over limit: warm, cold, unannounced |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range scenarios() {
		for _, plain := range []bool{true, false} {
			if err := runScenario(w, shape, s, plain, seed); err != nil {
				return err
			}
		}
	}
	fmt.Fprintf(w, "\ninvariant violations asserted in the program: %d\n", invariant.Violations())
	return nil
}

func runScenario(w io.Writer, shape standin.Shape, s scenario, plain bool, seed uint64) error {
	run, err := trial.Start(trial.Options{
		Shape: shape, Hosts: scenarioHosts, DisablePolicies: plain,
		Target: standin.TargetOptions{BaseLatency: 2 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, ColdLatencyFactor: 4, StartWarm: !s.cold, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer run.Close()
	scopes := make([]string, len(shape.Groups))
	for i, g := range shape.Groups {
		scopes[i] = g.Name
	}
	load := trial.Load{Rate: s.rate, Duration: scenarioTime, Scopes: scopes, Seed: seed, Retry: s.cold, Timeout: 6 * time.Second, Check: trial.CheckOneSnapshot}
	if s.cold {
		load.Duration = time.Second
	} else {
		warmUp := load
		warmUp.Duration = 2 * time.Second
		run.RunLoad(warmUp)
	}
	random := rand.New(rand.NewPCG(seed, 2))
	before := sums(run)
	if s.before != nil {
		s.before(run.Deployment(), random)
	}
	if s.during != nil {
		time.AfterFunc(faultAfter, func() { s.during(run.Deployment(), random) })
	}
	r := run.RunLoad(load)
	printScenario(w, s, plain, r, sums(run).minus(before))
	return nil
}

// counts is what targets and daemons counted.
type counts struct {
	targets      standin.TargetCounts
	first, extra int64
}

func sums(run *trial.Cluster) counts {
	return counts{run.Deployment().Totals(), run.Counter("parts-first"), run.Counter("parts-extra")}
}

func (c counts) minus(b counts) counts {
	c.first -= b.first
	c.extra -= b.extra
	c.targets.Overruns -= b.targets.Overruns
	c.targets.ColdOverruns -= b.targets.ColdOverruns
	c.targets.Unannounced -= b.targets.Unannounced
	return c
}

func printScenario(w io.Writer, s scenario, plain bool, r *trial.Results, c counts) {
	policies := "with"
	if plain {
		policies = "without"
	}
	refused := 0
	for _, n := range r.RefusalReasons {
		refused += n
	}
	fmt.Fprintf(w, "| %s | %s | %d | %s | %s | %s | %.4f | %.4f | %d | %.2f %% | %d, %d, %d |\n",
		s.name, policies, r.Searches, ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), ms(r.Quantile(0.999)),
		r.Coverage(), float64(r.Complete)/float64(max(1, r.Answered)), refused,
		100*float64(c.extra)/float64(max(1, c.first)), c.targets.Overruns, c.targets.ColdOverruns, c.targets.Unannounced)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000)
}

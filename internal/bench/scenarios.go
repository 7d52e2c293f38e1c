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

// Number of hosts, rates in searches per second, and times of the scenarios.
const (
	scenarioHosts = 6
	normalRate    = 150.0
	surgeRate     = 1500.0
	scenarioTime  = 4 * time.Second
	faultDelay    = time.Second
)

// scenario is a load on a deployment with faults injected.
type scenario struct {
	name string
	rate float64
	// cold makes the targets start cold.
	cold bool
	// beforeLoad injects faults before the load starts, and duringLoad faultDelay
	// after its start.
	beforeLoad, duringLoad func(d *standin.Deployment, random *rand.Rand)
}

func scenarios() []scenario {
	return []scenario{
		{name: "calm", rate: normalRate},
		{name: "one straggler in 100 (10x)", rate: normalRate, beforeLoad: slowTargets(1, 10)},
		{name: "5 % of replicas lost", rate: normalRate, duringLoad: func(d *standin.Deployment, random *rand.Rand) {
			forRandomTargets(d, random, len(d.TargetPaths())/20, func(path string) { d.Server(path).Stop() })
		}},
		{name: "surge, all targets cold", rate: surgeRate, cold: true},
		{name: "5 % turn cold unannounced", rate: normalRate, duringLoad: func(d *standin.Deployment, random *rand.Rand) {
			forRandomTargets(d, random, len(d.TargetPaths())/20, func(path string) { d.Target(path).TurnCold(false) })
		}},
		{name: "10 % of connections silent", rate: normalRate, duringLoad: func(d *standin.Deployment, random *rand.Rand) {
			forRandomTargets(d, random, len(d.TargetPaths())/10, func(path string) { d.Target(path).SetFaults(standin.TargetFaults{SilentConnections: true}) })
		}},
	}
}

func slowTargets(n int, factor float64) func(*standin.Deployment, *rand.Rand) {
	return func(d *standin.Deployment, random *rand.Rand) {
		forRandomTargets(d, random, n, func(path string) { d.Target(path).SetFaults(standin.TargetFaults{LatencyFactor: factor}) })
	}
}

// forRandomTargets calls f with the paths of n random targets, at most one of each
// service, so that every service keeps a target without the fault.
func forRandomTargets(d *standin.Deployment, random *rand.Rand, n int, f func(path string)) {
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

// Scenarios runs each scenario without and with the policies towards targets, with
// the same seed, and writes a table.
func Scenarios(w io.Writer, shape standin.Shape, seed uint64) error {
	fmt.Fprintf(w, "| scenario | policies | searches | p50 ms | p99 ms | p99.9 ms | coverage | whole | refused | extra load | over limit: warm, cold, unannounced |\n")
	fmt.Fprintf(w, "|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range scenarios() {
		for _, disablePolicies := range []bool{true, false} {
			if err := runScenario(w, shape, s, disablePolicies, seed); err != nil {
				return err
			}
		}
	}
	fmt.Fprintf(w, "\ninvariant violations asserted in the program: %d\n", invariant.Violations())
	return nil
}

func runScenario(w io.Writer, shape standin.Shape, s scenario, disablePolicies bool, seed uint64) error {
	cluster, err := trial.Start(trial.Options{
		Shape: shape, Hosts: scenarioHosts, DisablePolicies: disablePolicies,
		Target: standin.TargetOptions{BaseLatency: 2 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, ColdLatencyFactor: 4, StartWarm: !s.cold, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
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
		cluster.RunLoad(warmUp)
	}
	random := rand.New(rand.NewPCG(seed, 2))
	before := readCounts(cluster)
	if s.beforeLoad != nil {
		s.beforeLoad(cluster.Deployment(), random)
	}
	if s.duringLoad != nil {
		time.AfterFunc(faultDelay, func() { s.duringLoad(cluster.Deployment(), random) })
	}
	r := cluster.RunLoad(load)
	printScenario(w, s, disablePolicies, r, readCounts(cluster).subtract(before))
	return nil
}

// counts holds the counts of the targets, and the first and additional (hedge and
// retry) sends of parts that the daemons counted.
type counts struct {
	targets             standin.TargetCounts
	initial, additional int64
}

// readCounts returns the counts of all targets and daemons so far.
func readCounts(cluster *trial.Cluster) counts {
	return counts{cluster.Deployment().Totals(), cluster.Counter("parts-first"), cluster.Counter("parts-extra")}
}

// subtract returns c with the counts that printScenario prints reduced by those
// of b.
func (c counts) subtract(b counts) counts {
	c.initial -= b.initial
	c.additional -= b.additional
	c.targets.Overruns -= b.targets.Overruns
	c.targets.ColdOverruns -= b.targets.ColdOverruns
	c.targets.Unannounced -= b.targets.Unannounced
	return c
}

func printScenario(w io.Writer, s scenario, disablePolicies bool, r *trial.Results, c counts) {
	policies := "with"
	if disablePolicies {
		policies = "without"
	}
	refused := 0
	for _, n := range r.FailureReasons {
		refused += n
	}
	fmt.Fprintf(w, "| %s | %s | %d | %s | %s | %s | %.4f | %.4f | %d | %.2f %% | %d, %d, %d |\n",
		s.name, policies, r.Searches, formatMilliseconds(r.Quantile(0.5)), formatMilliseconds(r.Quantile(0.99)), formatMilliseconds(r.Quantile(0.999)),
		r.Coverage(), float64(r.Complete)/float64(max(1, r.Answered)), refused,
		100*float64(c.additional)/float64(max(1, c.initial)), c.targets.Overruns, c.targets.ColdOverruns, c.targets.Unannounced)
}

func formatMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000)
}

package command

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/internal/invariant"
	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// Size and load of the demo.
const (
	demoHosts = 6
	// demoSurgeRate and demoCalmRate are searches per second: in the second in which all
	// callers start, and after it.
	demoSurgeRate = 1500.0
	demoCalmRate  = 150.0
)

func newDemo() *cobra.Command {
	var shape string
	var seed uint64
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete deployment in this process under a surge of callers",
		Long: `Run a complete deployment in this process, over loopback: stand-ins for the
platform's store and for the targets, which serve the project's own documents,
and six daemons. All targets are cold and all callers start in the same second;
then the load drops. The exit code is 0 only if every invariant held.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo(c.OutOrStdout(), shape, seed)
		},
	}
	c.Flags().StringVar(&shape, "shape", "trust", "deployment to run: trust or exchange")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

// parseShape returns the shape of the deployment with the given name.
func parseShape(name string) (standin.Shape, error) {
	switch name {
	case "trust":
		return standin.TrustShape(), nil
	case "exchange":
		return standin.ExchangeShape(), nil
	default:
		return standin.Shape{}, errors.Errorf("shape %q is neither trust nor exchange", name)
	}
}

func demo(w io.Writer, name string, seed uint64) error {
	shape, err := parseShape(name)
	if err != nil {
		return err
	}
	cluster, err := trial.Start(trial.Options{
		Shape: shape, Hosts: demoHosts,
		Target: standin.TargetOptions{BaseLatency: 2 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, ColdLatencyFactor: 4, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(w, "%s: %d targets in %d data centres, %d daemons\n", shape.Name, len(cluster.Deployment().TargetPaths()), len(shape.DataCentres), demoHosts)
	scopes := make([]string, len(shape.Groups))
	for i, g := range shape.Groups {
		scopes[i] = g.Name
	}
	load := trial.Load{Rate: demoSurgeRate, Duration: time.Second, Scopes: scopes, Seed: seed, Retry: true, Timeout: 8 * time.Second, Check: trial.CheckOneSnapshot}
	surge := cluster.RunLoad(load)
	printResults(w, "surge, all targets cold", surge)
	load.Rate, load.Duration, load.Seed = demoCalmRate, 3*time.Second, seed+1
	calm := cluster.RunLoad(load)
	printResults(w, "calm", calm)
	printTargets(w, cluster)
	printSample(w, calm)
	return reportInvariants(w, cluster, surge, calm)
}

func printResults(w io.Writer, title string, r *trial.Results) {
	fmt.Fprintf(w, "\n%s\n  searches %d, answered %d, whole %d, coverage %.4f\n", title, r.Searches, r.Answered, r.Complete, r.Coverage())
	fmt.Fprintf(w, "  latency with retries p50 %s, p99 %s, p99.9 %s\n", r.Quantile(0.5), r.Quantile(0.99), r.Quantile(0.999))
	printCounts(w, "  refused", r.FailureReasons)
	printCounts(w, "  missing", r.MissingReasons)
}

func printCounts(w io.Writer, title string, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%s %s %d\n", title, n, counts[n])
	}
}

func printTargets(w io.Writer, cluster *trial.Cluster) {
	c := cluster.Deployment().Totals()
	first := cluster.Counter("parts-first")
	extra := cluster.Counter("parts-extra")
	fmt.Fprintf(w, "\ntargets\n  exchanges %d, parts %d, shed %d\n", c.Exchanges, c.Parts, c.Shed)
	fmt.Fprintf(w, "  slots over limit %d, cold targets over limit %d\n", c.Overruns, c.ColdOverruns)
	fmt.Fprintf(w, "  parts asked %d, extra load by retries and hedges %d (%.2f%%)\n", first, extra, 100*float64(extra)/float64(max(1, first)))
	counts := map[string]int{}
	for _, d := range cluster.Daemons() {
		for name, v := range d.Counters() {
			counts[name] += int(v)
		}
	}
	for _, name := range []string{"part-refused-queue-full", "part-refused-too-late", "part-refused-cold", "refused-overload", "parts-hedged", "hedges-won", "answers-late", "answers-crossed", "exchanges-cancelled", "budget-refused"} {
		fmt.Fprintf(w, "  %s %d\n", name, counts[name])
	}
}

func printSample(w io.Writer, r *trial.Results) {
	fmt.Fprintln(w, "\nanswers")
	for i, a := range r.SampleAnswers {
		fmt.Fprintf(w, "search %q\n", r.SampleTerms[i])
		a.Hits = a.Hits[:min(2, len(a.Hits))]
		printAnswer(w, a)
	}
}

// reportInvariants prints that every invariant held, or returns an error if one was violated.
func reportInvariants(w io.Writer, cluster *trial.Cluster, results ...*trial.Results) error {
	c := cluster.Deployment().Totals()
	violations := invariant.Violations() + int64(c.Overruns+c.ColdOverruns+c.Repeated)
	for _, r := range results {
		violations += int64(len(r.Violations))
	}
	if violations > 0 {
		return errors.Errorf("%d violations of invariants", violations)
	}
	fmt.Fprintln(w, "\nevery invariant held")
	return nil
}

package bench

import (
	"fmt"
	"io"
	"time"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// hopHosts is the number of hosts in the measurement.
const hopHosts = 9

// OwnerHop compares sending requests to a target through the host that owns it,
// at the cost of one more network hop, with hosts that each send directly and
// count the slots of targets independently. It writes a table.
func OwnerHop(w io.Writer, rates []float64, seed uint64) error {
	fmt.Fprintf(w, "| way to the targets | searches/s | p50 ms | p99 ms | coverage | over limit | shed | most at once | connections opened |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, rate := range rates {
		for _, separateStores := range []bool{true, false} {
			if err := runOwnerHop(w, rate, separateStores, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func runOwnerHop(w io.Writer, rate float64, separateStores bool, seed uint64) error {
	shape := standin.TrustShape()
	shape.Groups = shape.Groups[:1]
	cluster, err := trial.Start(trial.Options{
		Shape: shape, Hosts: hopHosts, SeparateStores: separateStores,
		Target: standin.TargetOptions{BaseLatency: 2 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, StartWarm: true, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed}
	cluster.RunLoad(load)
	before := cluster.Deployment().Totals()
	load.Duration = 5 * time.Second
	r := cluster.RunLoad(load)
	c := cluster.Deployment().Totals()
	name := "owner"
	if separateStores {
		name = "each host for itself"
	}
	fmt.Fprintf(w, "| %s | %.0f | %s | %s | %.4f | %d | %d | %d | %d |\n", name, rate, formatMilliseconds(r.Quantile(0.5)), formatMilliseconds(r.Quantile(0.99)), r.Coverage(),
		c.Overruns-before.Overruns+c.ColdOverruns-before.ColdOverruns, c.Shed-before.Shed, c.MostAtOnce, cluster.TargetConnections())
	return nil
}

package bench

import (
	"fmt"
	"io"
	"time"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// hopHosts is the number of hosts with which the hop is measured.
const hopHosts = 9

// OwnerHop compares asking targets through their owners with hosts that each ask the
// targets themselves and count slots for themselves.
func OwnerHop(w io.Writer, rates []float64, seed uint64) error {
	fmt.Fprintf(w, "| way to the targets | searches/s | p50 ms | p99 ms | coverage | over limit | shed | most at once | connections opened |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, rate := range rates {
		for _, separate := range []bool{true, false} {
			if err := hop(w, rate, separate, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

func hop(w io.Writer, rate float64, separate bool, seed uint64) error {
	shape := standin.TrustShape()
	shape.Groups = shape.Groups[:1]
	run, err := trial.Start(trial.Options{
		Shape: shape, Hosts: hopHosts, SeparateStores: separate,
		Target: standin.TargetOptions{BaseLatency: 2 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, StartWarm: true, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer run.Close()
	load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed}
	run.RunLoad(load)
	before := run.Deployment().Totals()
	load.Duration = 5 * time.Second
	r := run.RunLoad(load)
	c := run.Deployment().Totals()
	name := "owner"
	if separate {
		name = "each host for itself"
	}
	fmt.Fprintf(w, "| %s | %.0f | %s | %s | %.4f | %d | %d | %d | %d |\n", name, rate, ms(r.Quantile(0.5)), ms(r.Quantile(0.99)), r.Coverage(),
		c.Overruns-before.Overruns+c.ColdOverruns-before.ColdOverruns, c.Shed-before.Shed, c.MostAtOnce, run.TargetConnections())
	return nil
}

package bench

import (
	"fmt"
	"io"
	"time"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// goodputLatencyTarget is the latency within which an answer counts as goodput.
const goodputLatencyTarget = 66 * time.Millisecond

// Goodput sends searches at the given rates to a deployment whose target slots
// are the bottleneck, without and with the policies towards targets, and writes a
// table of the complete answers per second within the latency target.
func Goodput(w io.Writer, rates []float64, seed uint64) error {
	fmt.Fprintf(w, "| policies | searches/s offered | whole answers/s in time | p99 ms | coverage of answers | refused not run | limit at the end |\n|---|---|---|---|---|---|---|\n")
	for _, disablePolicies := range []bool{true, false} {
		for _, rate := range rates {
			if err := runGoodput(w, rate, disablePolicies, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

// Batching sends searches at a rate that exceeds the capacity of the targets with
// one part per exchange. It writes a table of the complete answers per second
// within the latency target for each maximum number of parts per exchange.
func Batching(w io.Writer, batches []int, rate float64, seed uint64) error {
	fmt.Fprintf(w, "| parts an exchange at most | searches/s offered | whole answers/s in time | p50 ms | p99 ms | parts an exchange on average |\n|---|---|---|---|---|---|\n")
	for _, n := range batches {
		shape := goodputShape()
		shape.Groups[0].MaxBatch = n
		cluster, err := trial.Start(trial.Options{
			Shape: shape, Hosts: 3,
			Target: standin.TargetOptions{BaseLatency: 10 * time.Millisecond, LatencyPerPart: 50 * time.Microsecond, StartWarm: true, Seed: seed},
		})
		if err != nil {
			return err
		}
		load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed, LatencyTarget: goodputLatencyTarget}
		cluster.RunLoad(load)
		load.Duration = 5 * time.Second
		r := cluster.RunLoad(load)
		parts := float64(cluster.Counter("exchange-parts")) / float64(max(1, cluster.Counter("exchanges")))
		fmt.Fprintf(w, "| %d | %.0f | %.0f | %s | %s | %.1f |\n", n, rate, float64(r.CompleteInTime)/load.Duration.Seconds(), formatMilliseconds(r.Quantile(0.5)), formatMilliseconds(r.Quantile(0.99)), parts)
		cluster.Close()
	}
	return nil
}

// goodputShape returns a shape of six services with two targets each. Each target
// runs two concurrent exchanges of one part. At 10 ms per exchange and two shards
// per service, their capacity is 200 searches per second.
func goodputShape() standin.Shape {
	s := standin.TrustShape()
	s.Policy = "deadline = \"60ms\"\ncold-batch = 1\nextra-load = 0.05\nqueue = 512\n"
	s.Groups = s.Groups[:1]
	s.Groups[0].Services = 6
	s.Groups[0].MaxBatch, s.Groups[0].MaxColdBatch = 1, 1
	return s
}

func runGoodput(w io.Writer, rate float64, disablePolicies bool, seed uint64) error {
	shape := goodputShape()
	cluster, err := trial.Start(trial.Options{
		Shape: shape, Hosts: 3, DisablePolicies: disablePolicies,
		Target: standin.TargetOptions{BaseLatency: 10 * time.Millisecond, StartWarm: true, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed, LatencyTarget: goodputLatencyTarget}
	cluster.RunLoad(load)
	load.Duration = 5 * time.Second
	r := cluster.RunLoad(load)
	refused := 0
	for _, n := range r.FailureReasons {
		refused += n
	}
	limit := 0
	for _, d := range cluster.Daemons() {
		limit += int(d.Counters()["admission-limit"])
	}
	name := "with"
	if disablePolicies {
		name = "without"
	}
	fmt.Fprintf(w, "| %s | %.0f | %.0f | %s | %.4f | %d | %d |\n", name, rate, float64(r.CompleteInTime)/load.Duration.Seconds(), formatMilliseconds(r.Quantile(0.99)), r.Coverage(), refused, limit)
	return nil
}

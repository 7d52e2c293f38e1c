package bench

import (
	"fmt"
	"io"
	"time"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// goodputLatencyTarget is the time within which an answer counts.
const goodputLatencyTarget = 66 * time.Millisecond

// Goodput offers rates of searches to a deployment whose slots are the
// bottleneck, and writes how many whole answers came in time.
func Goodput(w io.Writer, rates []float64, seed uint64) error {
	fmt.Fprintf(w, "| policies | searches/s offered | whole answers/s in time | p99 ms | coverage of answers | refused not run | limit at the end |\n|---|---|---|---|---|---|---|\n")
	for _, plain := range []bool{true, false} {
		for _, rate := range rates {
			if err := runGoodput(w, rate, plain, seed); err != nil {
				return err
			}
		}
	}
	return nil
}

// Batching offers one rate, above what the targets bear with one part an
// exchange, with several sizes of exchanges, and writes what came in time.
func Batching(w io.Writer, batches []int, rate float64, seed uint64) error {
	fmt.Fprintf(w, "| parts an exchange at most | searches/s offered | whole answers/s in time | p50 ms | p99 ms | parts an exchange on average |\n|---|---|---|---|---|---|\n")
	for _, n := range batches {
		shape := goodputShape()
		shape.Groups[0].Batch = n
		run, err := trial.Start(trial.Options{
			Shape: shape, Hosts: 3,
			Target: standin.TargetOptions{Base: 10 * time.Millisecond, PerPart: 50 * time.Microsecond, Warm: true, Seed: seed},
		})
		if err != nil {
			return err
		}
		load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed, InTime: goodputLatencyTarget}
		run.Run(load)
		load.Duration = 5 * time.Second
		r := run.Run(load)
		parts := float64(run.Counter("exchange-parts")) / float64(max(1, run.Counter("exchanges")))
		fmt.Fprintf(w, "| %d | %.0f | %.0f | %s | %s | %.1f |\n", n, rate, float64(r.Good)/load.Duration.Seconds(), formatMilliseconds(r.Quantile(0.5)), formatMilliseconds(r.Quantile(0.99)), parts)
		run.Close()
	}
	return nil
}

// goodputShape is six services of two targets, each of which runs two exchanges
// of one part at once: at 10 ms an exchange and two shards a service they bear
// 200 searches a second.
func goodputShape() standin.Shape {
	s := standin.TrustShape()
	s.Policy = "deadline = \"60ms\"\ncold-batch = 1\nextra-load = 0.05\nqueue = 512\n"
	s.Groups = s.Groups[:1]
	s.Groups[0].Services = 6
	s.Groups[0].Batch, s.Groups[0].ColdBatch = 1, 1
	return s
}

func runGoodput(w io.Writer, rate float64, plain bool, seed uint64) error {
	shape := goodputShape()
	run, err := trial.Start(trial.Options{
		Shape: shape, Hosts: 3, Plain: plain,
		Target: standin.TargetOptions{Base: 10 * time.Millisecond, Warm: true, Seed: seed},
	})
	if err != nil {
		return err
	}
	defer run.Close()
	load := trial.Load{Rate: rate, Duration: 2 * time.Second, Scopes: []string{shape.Groups[0].Name}, Seed: seed, InTime: goodputLatencyTarget}
	run.Run(load)
	load.Duration = 5 * time.Second
	r := run.Run(load)
	refused := 0
	for _, n := range r.Refused {
		refused += n
	}
	limit := 0
	for _, d := range run.Daemons() {
		limit += int(d.Counters()["admission-limit"])
	}
	name := "with"
	if plain {
		name = "without"
	}
	fmt.Fprintf(w, "| %s | %.0f | %.0f | %s | %.4f | %d | %d |\n", name, rate, float64(r.Good)/load.Duration.Seconds(), formatMilliseconds(r.Quantile(0.99)), r.Coverage(), refused, limit)
	return nil
}

package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fescuerill/internal/bench"
)

func newBench() *cobra.Command {
	c := &cobra.Command{
		Use:   "bench",
		Short: "Run the benchmarks and print their tables",
	}
	c.AddCommand(newBenchScenarios(), newBenchControl(), newBenchHop(), newBenchGoodput(), newBenchSettings(), newBenchState(), newBenchBatching(), newBenchAll())
	return c
}

func newBenchScenarios() *cobra.Command {
	var shape string
	var seed uint64
	c := &cobra.Command{
		Use:   "scenarios",
		Short: "Latency, coverage and additional load under faults, without and with cold-start limits, early refusal, retries and hedges",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := parseShape(shape)
			if err != nil {
				return err
			}
			return bench.Scenarios(c.OutOrStdout(), s, seed)
		},
	}
	c.Flags().StringVar(&shape, "shape", "trust", "deployment to run: trust or exchange")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

func newBenchControl() *cobra.Command {
	var hosts []int
	var lease time.Duration
	c := &cobra.Command{
		Use:   "control",
		Short: "Cost of the control plane without queries, at several numbers of daemons",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := bench.ControlPlane(c.OutOrStdout(), hosts, lease)
			return err
		},
	}
	c.Flags().IntSliceVar(&hosts, "hosts", []int{6, 12, 25, 50, 90}, "numbers of daemons")
	c.Flags().DurationVar(&lease, "lease-time", 6*time.Second, "time after which the lease of a host expires")
	return c
}

func newBenchHop() *cobra.Command {
	var rates []float64
	var seed uint64
	c := &cobra.Command{
		Use:   "hop",
		Short: "Routing through target owners compared with hosts that each query the targets directly",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.OwnerHop(c.OutOrStdout(), rates, seed)
		},
	}
	c.Flags().Float64SliceVar(&rates, "rates", []float64{50, 200, 400}, "searches per second")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

func newBenchGoodput() *cobra.Command {
	var rates []float64
	var seed uint64
	c := &cobra.Command{
		Use:   "goodput",
		Short: "Complete answers within the deadline at rates below and above the capacity of the targets",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Goodput(c.OutOrStdout(), rates, seed)
		},
	}
	c.Flags().Float64SliceVar(&rates, "rates", []float64{50, 100, 200, 400, 1000}, "searches per second")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

func newBenchSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Bytes and reads of a settings change, for three ways to distribute it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.SettingsTransfer(c.OutOrStdout())
		},
	}
}

func newBenchState() *cobra.Command {
	return &cobra.Command{
		Use:   "state",
		Short: "State size and computation time of a daemon up to the design size",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.DaemonState(c.OutOrStdout())
		},
	}
}

// newBenchAll returns the command that prints every table. The heading of each table is
// the command that prints it alone.
func newBenchAll() *cobra.Command {
	return &cobra.Command{
		Use:   "all",
		Short: "Print every table; takes about ten minutes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, args := range [][]string{
				{"scenarios"},
				{"scenarios", "--shape", "exchange"},
				{"goodput"},
				{"batching"},
				{"hop"},
				{"control"},
				{"control", "--hosts", "6,25,90", "--lease-time", "15s"},
				{"settings"},
				{"state"},
			} {
				fmt.Fprintf(c.OutOrStdout(), "\n## bench %s\n\n", strings.Join(args, " "))
				one := newBench()
				one.SetArgs(args)
				one.SetOut(c.OutOrStdout())
				if err := one.Execute(); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func newBenchBatching() *cobra.Command {
	var batches []int
	var rate float64
	c := &cobra.Command{
		Use:   "batching",
		Short: "Gain from exchanges that carry several parts",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Batching(c.OutOrStdout(), batches, rate, 1)
		},
	}
	c.Flags().IntSliceVar(&batches, "batches", []int{1, 4, 16}, "maximum number of parts per exchange")
	c.Flags().Float64Var(&rate, "rate", 400, "searches per second")
	return c
}

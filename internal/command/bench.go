package command

import (
	"time"

	"github.com/spf13/cobra"

	"fescuerill/internal/bench"
)

func newBench() *cobra.Command {
	c := &cobra.Command{
		Use:   "bench",
		Short: "Make the tables of the measurements",
	}
	c.AddCommand(newBenchScenarios(), newBenchControl(), newBenchHop(), newBenchGoodput(), newBenchSettings(), newBenchState())
	return c
}

func newBenchScenarios() *cobra.Command {
	var shape string
	var seed uint64
	c := &cobra.Command{
		Use:   "scenarios",
		Short: "Latency, coverage and extra load under faults, without and with the policies",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := shapeOf(shape)
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
		Short: "What control costs without queries, at several numbers of daemons",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := bench.Control(c.OutOrStdout(), hosts, lease)
			return err
		},
	}
	c.Flags().IntSliceVar(&hosts, "hosts", []int{6, 9, 25, 50}, "numbers of daemons")
	c.Flags().DurationVar(&lease, "lease-time", 6*time.Second, "time after which the lease of a host lapses")
	return c
}

func newBenchHop() *cobra.Command {
	var rates []float64
	var seed uint64
	c := &cobra.Command{
		Use:   "hop",
		Short: "The way through owners against hosts that each ask the targets themselves",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Hop(c.OutOrStdout(), rates, seed)
		},
	}
	c.Flags().Float64SliceVar(&rates, "rates", []float64{50, 200, 400}, "searches a second")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

func newBenchGoodput() *cobra.Command {
	var rates []float64
	var seed uint64
	c := &cobra.Command{
		Use:   "goodput",
		Short: "Whole answers in time at rates below and above what the targets bear",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Goodput(c.OutOrStdout(), rates, seed)
		},
	}
	c.Flags().Float64SliceVar(&rates, "rates", []float64{50, 100, 200, 400, 1000}, "searches a second")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return c
}

func newBenchSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Bytes and reads of a change of the settings, for three ways to carry it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Settings(c.OutOrStdout())
		},
	}
}

func newBenchState() *cobra.Command {
	return &cobra.Command{
		Use:   "state",
		Short: "State and computing of a daemon up to the size to design for",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.State(c.OutOrStdout())
		},
	}
}

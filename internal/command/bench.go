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
		Short: "Make the tables of the measurements",
	}
	c.AddCommand(newBenchScenarios(), newBenchControl(), newBenchHop(), newBenchGoodput(), newBenchSettings(), newBenchState(), newBenchBatching(), newBenchAll())
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
			_, err := bench.ControlPlane(c.OutOrStdout(), hosts, lease)
			return err
		},
	}
	c.Flags().IntSliceVar(&hosts, "hosts", []int{6, 12, 25, 50, 90}, "numbers of daemons")
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
			return bench.OwnerHop(c.OutOrStdout(), rates, seed)
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
			return bench.SettingsTransfer(c.OutOrStdout())
		},
	}
}

func newBenchState() *cobra.Command {
	return &cobra.Command{
		Use:   "state",
		Short: "State and computing of a daemon up to the size to design for",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.DaemonState(c.OutOrStdout())
		},
	}
}

// newBenchAll returns the command that makes every table, each with the command
// that makes it alone.
func newBenchAll() *cobra.Command {
	return &cobra.Command{
		Use:   "all",
		Short: "Make every table again, in about ten minutes",
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
		Short: "What exchanges of several parts gain",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return bench.Batching(c.OutOrStdout(), batches, rate, 1)
		},
	}
	c.Flags().IntSliceVar(&batches, "batches", []int{1, 4, 16}, "parts an exchange at most")
	c.Flags().Float64Var(&rate, "rate", 400, "searches a second")
	return c
}

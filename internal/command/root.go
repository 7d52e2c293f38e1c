package command

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/settings"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
)

// Run executes a command line and returns the exit code.
func Run(args []string, out, err io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(err)
	if failure := root.Execute(); failure != nil {
		printError(err, failure)
		return exitError
	}
	return exitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "fescuerill",
		Short: "Query tier over many shards",
		Long: `fescuerill answers searches that span many shards: in time, whole, once, from
one snapshot, and honest about what they cover. It protects targets that have
just come up from the surge of callers that come back with them.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newHost(), newExplain(), newQuery(), newSettings(), newDataCentre(), newTarget(), newStatus(), newBench(), newDemo(), newVersion())
	return root
}

// printError prints each finding of a settings file on its own line.
func printError(w io.Writer, err error) {
	var findings settings.Findings
	if errors.As(err, &findings) {
		for _, f := range findings {
			fmt.Fprintln(w, f)
		}
		fmt.Fprintf(w, "%d findings\n", len(findings))
		return
	}
	fmt.Fprintln(w, "fescuerill:", err)
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			fmt.Fprintln(c.OutOrStdout(), "fescuerill", version)
			return nil
		},
	}
}

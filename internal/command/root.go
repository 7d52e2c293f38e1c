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

// Run executes the command line given by args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		printError(errOut, err)
		return exitError
	}
	return exitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "fescuerill",
		Short: "Query tier over many shards",
		Long: `fescuerill answers searches that span many shards, within their deadlines and
from one snapshot. Each answer states which shards it covers, and non-idempotent
requests run at most once. Targets that have just started are protected from the
surge of callers that return with them.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newHost(), newExplain(), newSummary(), newQuery(), newSettings(), newDataCentre(), newTarget(), newStatus(), newBench(), newDemo(), newVersion())
	return root
}

// printError prints an error. Each finding of a settings file is on a line of its own.
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

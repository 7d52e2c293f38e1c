package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/internal/observe/explain"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Show from the logs of hosts how a request was processed, and why",
		Long: `Show from the logs of hosts how a request was processed, and why.

Lines about the request are marked with >. The others show the state that the
same host observed in the ten seconds before: changes of the targets that the
request was sent to, of the manifest and of other hosts, and whether the store
answered.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			logs, closeLogs, err := openLogs(args[1:])
			defer closeLogs()
			if err != nil {
				return err
			}
			lines, err := explain.RequestLines(args[0], logs)
			if err != nil {
				return err
			}
			if len(lines) == 0 {
				return errors.Errorf("no log line about request %s", args[0])
			}
			for _, l := range lines {
				mark := " "
				if l.AboutRequest {
					mark = ">"
				}
				fmt.Fprintf(c.OutOrStdout(), "%s %s %s\n", mark, l.Source, l.Text)
			}
			return nil
		},
	}
}

func newSummary() *cobra.Command {
	traffic := false
	c := &cobra.Command{
		Use:   "summary FILE...",
		Short: "Show from the logs of hosts what requests lost, and for which causes",
		Long: `Show from the logs of hosts what requests lost, and for which causes.

Each row counts the requests with one latency target (aim-ms) and one cause. The
loss of a request is 1 if it got no answer within its latency target, and 1 minus
the square of the share of shards in the answer otherwise.

With --traffic, show instead the bytes by kind of message and the calls to the
store, summed over the hosts, and of the host with the most.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs, closeLogs, err := openLogs(args)
			defer closeLogs()
			if err != nil {
				return err
			}
			if traffic {
				return printTraffic(c.OutOrStdout(), logs)
			}
			rows, err := explain.Summarise(logs)
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
			fmt.Fprintln(w, "loss\trequests\tparts\taim-ms\tcause\t")
			for _, r := range rows {
				fmt.Fprintf(w, "%.1f\t%d\t%d\t%d\t%s\t\n", r.Loss, r.Requests, r.Parts, r.LatencyTargetMs, r.Cause)
			}
			return errors.Wrap(w.Flush(), "write summary")
		},
	}
	c.Flags().BoolVar(&traffic, "traffic", false, "show bytes by kind of message and calls to the store")
	return c
}

// printTraffic writes the traffic in the logs.
func printTraffic(out io.Writer, logs []explain.Log) error {
	counts, err := explain.SumTraffic(logs)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "all-hosts\tbusiest-host\tcount\t")
	for _, c := range counts {
		fmt.Fprintf(w, "%d\t%d\t%s\t\n", c.Total, c.Most, c.Name)
	}
	return errors.Wrap(w.Flush(), "write traffic")
}

// openLogs opens log files. The returned function closes them.
func openLogs(names []string) ([]explain.Log, func(), error) {
	var logs []explain.Log
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return nil, closeAll, errors.Wrap(err, "open log")
		}
		files = append(files, f)
		logs = append(logs, explain.Log{Name: filepath.Base(name), Reader: f})
	}
	return logs, closeAll, nil
}

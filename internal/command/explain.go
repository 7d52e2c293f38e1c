package command

import (
	"fmt"
	"os"
	"path/filepath"

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
			var logs []explain.Log
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return errors.Wrap(err, "open log")
				}
				defer func() { _ = f.Close() }()
				logs = append(logs, explain.Log{Name: filepath.Base(name), Reader: f})
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

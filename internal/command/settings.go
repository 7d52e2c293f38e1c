package command

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/settings"
)

func newSettings() *cobra.Command {
	c := &cobra.Command{
		Use:   "settings",
		Short: "Check, show and change the settings of a deployment",
	}
	c.AddCommand(newSettingsCheck(), newSettingsShow(), newSettingsApply(), newSettingsGet(), newSettingsHistory())
	return c
}

func readTree(file string) (*settings.Tree, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return settings.ParseTree(file, text)
}

func newSettingsCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Report everything that is wrong with a settings file",
		Long: `Report everything that is wrong with the settings file of a deployment, each
finding with its line, column and key. The exit code is 1 when there is any.`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := readTree(args[0])
			return err
		},
	}
}

func newSettingsShow() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "show FILE",
		Short: "Show the effective values at a level and where they come from",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := readTree(args[0])
			if err != nil {
				return err
			}
			values, err := t.EffectiveValues(path)
			if err != nil {
				return err
			}
			for _, v := range values {
				fmt.Fprintf(c.OutOrStdout(), "%-16s %-10s from %s\n", v.Key(), v.Text(), v.Level())
			}
			return nil
		},
	}
	c.Flags().StringVar(&path, "path", "", "path of the level: group, group/service or group/service/target")
	return c
}

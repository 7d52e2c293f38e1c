package command

import (
	"context"
	"fmt"
	"io"
	"sort"

	"github.com/spf13/cobra"

	"fescuerill/caller"
	"fescuerill/store"
)

func newStatus() *cobra.Command {
	var o operatorOptions
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the live hosts, the revision on each, and the targets by state",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withStore(func(ctx context.Context, s *store.Client) error {
				all, err := fetchStatuses(ctx, s)
				if err != nil {
					return err
				}
				printStatuses(c.OutOrStdout(), all)
				return nil
			})
		},
	}
	o.addStoreFlag(c)
	return c
}

func printStatuses(w io.Writer, all map[string]*caller.Status) {
	ids := make([]string, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	states := map[string]int{}
	fmt.Fprintf(w, "%-16s %8s %6s %7s %6s %s\n", "host", "revision", "epoch", "targets", "proven", "notes")
	for _, id := range ids {
		s := all[id]
		if s == nil {
			fmt.Fprintf(w, "%-16s does not answer\n", id)
			continue
		}
		note := ""
		if s.Leaving {
			note += " leaving"
		}
		if s.StoreOut {
			note += " store-out"
		}
		fmt.Fprintf(w, "%-16s %8d %6d %7d %6t%s\n", id, s.Revision, s.Epoch, len(s.Targets), s.Proven, note)
		for _, t := range s.Targets {
			states[t.State]++
		}
	}
	for _, name := range []string{"cold", "warming", "warm", "leaving", "lost"} {
		fmt.Fprintf(w, "targets %-8s %d\n", name, states[name])
	}
}

package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os/user"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fescuerill/caller"
	"fescuerill/internal/daemon"
	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
	"fescuerill/store"
)

// Limits of the operators' commands.
const (
	operatorTimeout     = 30 * time.Second
	inForcePollInterval = 100 * time.Millisecond
	// maxStatusRequests is the maximum number of concurrent status requests to hosts.
	maxStatusRequests = 32
)

// operatorOptions holds the flags that the operators' commands share.
type operatorOptions struct {
	storeAddress string
	wait         time.Duration
	baseRevision int
}

func (o *operatorOptions) addStoreFlag(c *cobra.Command) {
	c.Flags().StringVar(&o.storeAddress, "store", "", "IP address and port of the platform's store")
	_ = c.MarkFlagRequired("store")
}

// addChangeFlags adds the flags of the commands that change the settings.
func (o *operatorOptions) addChangeFlags(c *cobra.Command) {
	o.addStoreFlag(c)
	c.Flags().DurationVar(&o.wait, "wait", 10*time.Second, "how long to wait until the change is in force everywhere")
	c.Flags().IntVar(&o.baseRevision, "base", -1, "revision that the change was made from; the one in force when negative")
}

// withStore calls f with a client of the store and a context that ends after
// operatorTimeout.
func (o *operatorOptions) withStore(f func(ctx context.Context, s *store.Client) error) error {
	s := store.NewClient(o.storeAddress)
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return f(ctx, s)
}

// currentTree returns the settings tree in force and its revision. The tree is nil if there
// is none.
func currentTree(ctx context.Context, s store.Service) (*settings.Tree, int, error) {
	m, _, err := settings.CurrentManifest(ctx, s)
	if errors.Is(err, store.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t, err := settings.FetchTree(ctx, s, m, map[string]string{})
	return t, m.Revision, err
}

// changeSettings applies the tree that edit returns for the one in force, and waits until
// it is in force on all live hosts.
func (o *operatorOptions) changeSettings(w io.Writer, edit func(old *settings.Tree) (*settings.Tree, error)) error {
	return o.withStore(func(ctx context.Context, s *store.Client) error {
		old, revision, err := currentTree(ctx, s)
		if err != nil {
			return err
		}
		next, err := edit(old)
		if err != nil {
			return err
		}
		differences, err := next.Compare(old)
		if err != nil {
			return err
		}
		if len(differences) == 0 {
			fmt.Fprintf(w, "no difference from revision %d\n", revision)
			return nil
		}
		printDifferences(w, differences)
		if o.baseRevision >= 0 {
			revision = o.baseRevision
		}
		return o.applyTree(ctx, w, s, next, revision)
	})
}

func printDifferences(w io.Writer, differences []settings.Difference) {
	for _, d := range differences {
		if d.Old != "" {
			fmt.Fprintf(w, "- %s = %s\n", d.Key, d.Old)
		}
		if d.New != "" {
			fmt.Fprintf(w, "+ %s = %s\n", d.Key, d.New)
		}
	}
}

func (o *operatorOptions) applyTree(ctx context.Context, w io.Writer, s *store.Client, t *settings.Tree, base int) error {
	began := time.Now()
	m, err := settings.Apply(ctx, s, t, settings.Change{ID: rand.Text(), Author: author(), Base: base})
	switch {
	case errors.Is(err, settings.ErrConflict):
		fmt.Fprintf(w, "conflict: revision %d is in force, made by %s (change %s); yours was made from revision %d and is not accepted\n", m.Revision, textOrUnknown(m.Author), m.ChangeID, base)
		return err
	case errors.Is(err, settings.ErrOutcomeUnknown):
		fmt.Fprintf(w, "unknown: look at 'settings history' for change %s when the store answers\n", m.ChangeID)
		return err
	case err != nil:
		return errors.Wrap(err, "not accepted")
	}
	fmt.Fprintf(w, "accepted as revision %d\n", m.Revision)
	return awaitInForce(ctx, w, s, m.Revision, began, o.wait)
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func textOrUnknown(s *string) string {
	if s == nil {
		return "unknown"
	}
	return *s
}

// awaitInForce waits until the revision is in force on all hosts with a lease. It returns an
// error if that takes longer than wait after began.
func awaitInForce(ctx context.Context, w io.Writer, s store.Service, revision int, began time.Time, wait time.Duration) error {
	for {
		hosts, behind, err := hostsBehind(ctx, s, revision)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(w, "in force on %d of %d hosts after %s\n", hosts, hosts, time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) > wait {
			fmt.Fprintf(w, "in force on %d of %d hosts after %s; behind or silent: %v\n", hosts-len(behind), hosts, wait, behind)
			return errors.New("accepted, but not in force everywhere in time")
		}
		time.Sleep(inForcePollInterval)
	}
}

// hostsBehind returns the number of hosts with a lease, and the IDs of those on which the
// revision is not in force or that do not answer.
func hostsBehind(ctx context.Context, s store.Service, revision int) (hosts int, behind []string, err error) {
	all, err := fetchStatuses(ctx, s)
	for id, status := range all {
		if status == nil || status.Revision < revision {
			behind = append(behind, id)
		}
	}
	return len(all), behind, err
}

// fetchStatuses returns the status of every host with a lease by host ID. It is nil for a
// host that does not answer.
func fetchStatuses(ctx context.Context, s store.Service) (map[string]*caller.Status, error) {
	entries, err := s.List(ctx, daemon.HostKeyPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]*caller.Status{}
	var mu sync.Mutex
	var requests errgroup.Group
	requests.SetLimit(maxStatusRequests)
	for _, e := range entries {
		var m platform.Member
		if err := json.Unmarshal([]byte(e.Value), &m); err != nil {
			return nil, errors.Wrap(err, e.Key)
		}
		requests.Go(func() error {
			status := fetchStatus(ctx, m.CallerAddress)
			mu.Lock()
			defer mu.Unlock()
			out[m.ID] = status
			return nil
		})
	}
	return out, requests.Wait()
}

func fetchStatus(ctx context.Context, address string) *caller.Status {
	client := caller.NewClient("", address)
	defer client.Close()
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var status caller.Status
	if client.GetJSON(limited, address, "/v1/status", &status) != nil {
		return nil
	}
	return &status
}

func newSettingsApply() *cobra.Command {
	var o operatorOptions
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a settings file the settings in force",
		Long: `Check a settings file, show how it differs from the settings in force, and make
it the settings in force unless another change was accepted first. The result is
accepted, conflict or unknown. After acceptance the command waits until the
change is in force and reports on how many live hosts it is.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.changeSettings(c.OutOrStdout(), func(*settings.Tree) (*settings.Tree, error) { return readTree(args[0]) })
		},
	}
	o.addChangeFlags(c)
	return c
}

func newSettingsGet() *cobra.Command {
	var o operatorOptions
	c := &cobra.Command{
		Use:   "get",
		Short: "Print the settings in force",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withStore(func(ctx context.Context, s *store.Client) error {
				t, revision, err := currentTree(ctx, s)
				if err != nil || t == nil {
					return err
				}
				text, err := t.EncodeTOML()
				fmt.Fprintf(c.OutOrStdout(), "# revision %d\n%s", revision, text)
				return err
			})
		},
	}
	o.addStoreFlag(c)
	return c
}

func newSettingsHistory() *cobra.Command {
	var o operatorOptions
	c := &cobra.Command{
		Use:   "history",
		Short: "List the accepted changes that the store still holds",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withStore(func(ctx context.Context, s *store.Client) error {
				history, err := settings.History(ctx, s)
				for _, m := range history {
					fmt.Fprintf(c.OutOrStdout(), "%6d  %s  %-12s %s\n", m.Revision, textOrUnknown(m.Time), textOrUnknown(m.Author), m.ChangeID)
				}
				return err
			})
		},
	}
	o.addStoreFlag(c)
	return c
}

func newDataCentre() *cobra.Command {
	c := &cobra.Command{
		Use:   "datacentre",
		Short: "Take a data centre out of service or return it to service",
	}
	c.AddCommand(
		newEditCommand("out NAME", "Take the data centre out of service: it gets no new requests", func(t *settings.Tree, name string) (*settings.Tree, error) {
			return t.WithDataCentreEvacuated(name, true)
		}),
		newEditCommand("in NAME", "Return the data centre to service; its targets start cold", func(t *settings.Tree, name string) (*settings.Tree, error) {
			return t.WithDataCentreEvacuated(name, false)
		}),
	)
	return c
}

func newTarget() *cobra.Command {
	c := &cobra.Command{
		Use:   "target",
		Short: "Drain a target or return it to service",
	}
	c.AddCommand(
		newEditCommand("leave PATH", "Drain the target: it gets no new requests", func(t *settings.Tree, path string) (*settings.Tree, error) { return t.WithTargetLeaving(path, true) }),
		newEditCommand("return PATH", "Return the target to service; it starts cold", func(t *settings.Tree, path string) (*settings.Tree, error) { return t.WithTargetLeaving(path, false) }),
	)
	return c
}

// newEditCommand returns a command that applies edit to the settings in force.
func newEditCommand(use, short string, edit func(t *settings.Tree, name string) (*settings.Tree, error)) *cobra.Command {
	var o operatorOptions
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.changeSettings(c.OutOrStdout(), func(old *settings.Tree) (*settings.Tree, error) {
				if old == nil {
					return nil, errors.New("no settings are in force")
				}
				return edit(old, args[0])
			})
		},
	}
	o.addChangeFlags(c)
	return c
}

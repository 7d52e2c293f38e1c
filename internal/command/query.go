package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/caller"
)

type queryFlags struct {
	hosts                 []string
	near, scope, key, pin string
	operation             string
	limit                 int
	timeout               time.Duration
	json                  bool
}

func newQuery() *cobra.Command {
	var f queryFlags
	c := &cobra.Command{
		Use:   "query --host ADDRESS [WORDS]",
		Short: "Ask as a caller",
		Long: `Ask as a caller: learn which hosts to use, connect there, print the answer and
what it covers.

With --operation the request is not idempotent: it runs at most once. It is
named by --idempotency-key and pinned to one incarnation of one host; the pin is
printed, and a retry gives it again with --pin.`,
		Example: `  fescuerill query --host 127.0.0.1:7001 "clock tower"
  fescuerill query --host 127.0.0.1:7001 --scope dispatch-desk/dispatch-desk-01 --operation hold --idempotency-key order-4711-a lot-17`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, words []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), f.timeout)
			defer cancel()
			if f.operation != "" {
				return act(ctx, c.OutOrStdout(), f, strings.Join(words, " "))
			}
			return ask(ctx, c.OutOrStdout(), f, strings.Join(words, " "))
		},
	}
	c.SetContext(context.Background())
	c.Flags().StringSliceVar(&f.hosts, "host", nil, "IP address and port of any host (may be given several times)")
	c.Flags().StringVar(&f.near, "near", "", "data centre whose hosts go first")
	c.Flags().StringVar(&f.scope, "scope", "", "target group or service to search; empty for all")
	c.Flags().IntVar(&f.limit, "limit", 10, "hits wanted at most")
	c.Flags().DurationVar(&f.timeout, "timeout", 5*time.Second, "time for the answer, with all tries")
	c.Flags().BoolVar(&f.json, "json", false, "print the answer as JSON")
	c.Flags().StringVar(&f.operation, "operation", "", "non-idempotent operation to run on the item named by the words")
	c.Flags().StringVar(&f.key, "idempotency-key", "", "name of the request over all its retries; random when empty")
	c.Flags().StringVar(&f.pin, "pin", "", "pin of an earlier try, as it was printed")
	_ = c.MarkFlagRequired("host")
	return c
}

func ask(ctx context.Context, w io.Writer, f queryFlags, terms string) error {
	client := caller.NewClient(f.near, f.hosts...)
	defer client.Close()
	a, err := client.Search(ctx, caller.Search{Terms: terms, Scope: &f.scope, Limit: &f.limit})
	if err != nil {
		return err
	}
	if f.json {
		return errors.Wrap(json.NewEncoder(w).Encode(a), "answer")
	}
	printAnswer(w, a)
	return nil
}

func printAnswer(w io.Writer, a caller.Answer) {
	for _, h := range a.Hits {
		fmt.Fprintf(w, "%7.3f  %-32s %s\n", h.Score, h.Document, h.Text)
	}
	all := len(a.Coverage.Covered) + len(a.Coverage.Missing)
	fmt.Fprintf(w, "snapshot %d, %d of %d shards covered, answered by %s\n", a.Coverage.Snapshot, len(a.Coverage.Covered), all, a.Host)
	for _, m := range a.Coverage.Missing {
		fmt.Fprintf(w, "missing %s: %s\n", m.Shard, m.Reason)
	}
}

// pin says to which host and with which ticket a request is pinned. Its text
// is address/incarnation/stamp.
type pin struct {
	address, incarnation string
	stamp                int
}

// String returns the text of the pin.
func (p pin) String() string {
	return p.address + "/" + p.incarnation + "/" + strconv.Itoa(p.stamp)
}

func parsePin(text string) (pin, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return pin{}, errors.Errorf("pin %q is not address/incarnation/stamp", text)
	}
	stamp, err := strconv.Atoi(parts[2])
	return pin{parts[0], parts[1], stamp}, errors.Wrap(err, "pin")
}

func act(ctx context.Context, w io.Writer, f queryFlags, item string) error {
	client := caller.NewClient(f.near, f.hosts...)
	defer client.Close()
	p, err := choosePin(ctx, client, f.pin)
	if err != nil {
		return err
	}
	if f.key == "" {
		f.key = rand.Text()
	}
	fmt.Fprintf(w, "idempotency-key %s\npin %s\n", f.key, p)
	o, err := client.SubmitAction(ctx, p.address, caller.Action{
		Service: f.scope, Operation: f.operation, Item: item,
		IdempotencyKey: f.key, Incarnation: p.incarnation, StampMs: p.stamp,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "done by %s: %s", o.Host, o.Result)
	if o.Replayed {
		fmt.Fprint(w, " (remembered from an earlier try)")
	}
	fmt.Fprintln(w)
	return nil
}

// choosePin takes a ticket from the first host to use, unless a pin is given.
func choosePin(ctx context.Context, client *caller.Client, given string) (pin, error) {
	if given != "" {
		return parsePin(given)
	}
	hosts, err := client.Hosts(ctx)
	if err != nil {
		return pin{}, err
	}
	t, err := client.RequestTicket(ctx, hosts[0].Address)
	return pin{hosts[0].Address, t.Incarnation, t.StampMs}, err
}

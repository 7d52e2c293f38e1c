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
	hosts                                  []string
	dataCentre, scope, idempotencyKey, pin string
	operation                              string
	limit                                  int
	timeout                                time.Duration
	json                                   bool
}

func newQuery() *cobra.Command {
	var f queryFlags
	c := &cobra.Command{
		Use:   "query --host ADDRESS [WORDS]",
		Short: "Send a request as a caller",
		Long: `Send a search as a caller: fetch the addresses of the hosts, connect to one of
them, and print the answer and its coverage.

With --operation the request is not idempotent and runs at most once. It is
identified by --idempotency-key and pinned to one incarnation of one host. The
pin is printed; pass it with --pin to retry the request.`,
		Example: `  fescuerill query --host 127.0.0.1:7001 "clock tower"
  fescuerill query --host 127.0.0.1:7001 --scope dispatch-desk/dispatch-desk-01 --operation hold --idempotency-key order-4711-a lot-17`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, words []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), f.timeout)
			defer cancel()
			if f.operation != "" {
				return runAction(ctx, c.OutOrStdout(), f, strings.Join(words, " "))
			}
			return runSearch(ctx, c.OutOrStdout(), f, strings.Join(words, " "))
		},
	}
	c.SetContext(context.Background())
	c.Flags().StringSliceVar(&f.hosts, "host", nil, "IP address and port of any host (can be repeated)")
	c.Flags().StringVar(&f.dataCentre, "near", "", "data centre whose hosts are tried first")
	c.Flags().StringVar(&f.scope, "scope", "", "target group or service to search; empty for all")
	c.Flags().IntVar(&f.limit, "limit", 10, "maximum number of hits")
	c.Flags().DurationVar(&f.timeout, "timeout", 5*time.Second, "time limit for the answer, including retries")
	c.Flags().BoolVar(&f.json, "json", false, "print the answer as JSON")
	c.Flags().StringVar(&f.operation, "operation", "", "non-idempotent operation to run on the item that the words name")
	c.Flags().StringVar(&f.idempotencyKey, "idempotency-key", "", "key of the request, the same for all its retries; random if empty")
	c.Flags().StringVar(&f.pin, "pin", "", "pin that an earlier attempt printed")
	_ = c.MarkFlagRequired("host")
	return c
}

func runSearch(ctx context.Context, w io.Writer, f queryFlags, terms string) error {
	client := caller.NewClient(f.dataCentre, f.hosts...)
	defer client.Close()
	a, err := client.Search(ctx, caller.Search{Terms: terms, Scope: &f.scope, Limit: &f.limit})
	if err != nil {
		return err
	}
	if f.json {
		return errors.Wrap(json.NewEncoder(w).Encode(a), "encode answer")
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

// pin identifies the host and the ticket to which a request is pinned. Its text form is
// address/incarnation/stamp, where stamp is incarnationAgeMs.
type pin struct {
	address, incarnation string
	// incarnationAgeMs is the age of the incarnation in milliseconds when it issued the
	// ticket.
	incarnationAgeMs int
}

// String returns the text of the pin.
func (p pin) String() string {
	return p.address + "/" + p.incarnation + "/" + strconv.Itoa(p.incarnationAgeMs)
}

func parsePin(text string) (pin, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return pin{}, errors.Errorf("pin %q is not address/incarnation/stamp", text)
	}
	stamp, err := strconv.Atoi(parts[2])
	return pin{parts[0], parts[1], stamp}, errors.Wrap(err, "parse stamp of pin")
}

func runAction(ctx context.Context, w io.Writer, f queryFlags, item string) error {
	client := caller.NewClient(f.dataCentre, f.hosts...)
	defer client.Close()
	p, err := pinFor(ctx, client, f.pin)
	if err != nil {
		return err
	}
	if f.idempotencyKey == "" {
		f.idempotencyKey = rand.Text()
	}
	fmt.Fprintf(w, "idempotency-key %s\npin %s\n", f.idempotencyKey, p)
	o, err := client.SubmitAction(ctx, p.address, caller.Action{
		Service: f.scope, Operation: f.operation, Item: item,
		IdempotencyKey: f.idempotencyKey, Incarnation: p.incarnation, StampMs: p.incarnationAgeMs,
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

// pinFor parses the given pin. If it is empty, it requests a ticket from the preferred host
// and returns its pin.
func pinFor(ctx context.Context, client *caller.Client, given string) (pin, error) {
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

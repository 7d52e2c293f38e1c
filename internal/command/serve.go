package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"fescuerill/internal/daemon"
	"fescuerill/settings"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run the daemon of a host",
		Long: `Run the daemon of a host until it receives a signal to stop.

SIGTERM and SIGINT begin a planned stop: the host is removed from the addresses
that callers receive, serves until the last address list that contains it has
expired, hands its targets over, finishes every request and exits with code 0. A
second signal ends the process without waiting.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), c, file)
		},
	}
	c.Flags().StringVar(&file, "settings", "", "settings file of the daemon")
	_ = c.MarkFlagRequired("settings")
	return c
}

func serve(_ context.Context, c *cobra.Command, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings file")
	}
	node, err := settings.ParseNode(file, text)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: node.LogLevel()}))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	d, err := daemon.Start(node, daemon.Options{Log: log})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	d.Stop(ctx)
	return nil
}

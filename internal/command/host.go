package command

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"fescuerill/internal/observe/logwriter"
	"fescuerill/internal/serving/server"
	"fescuerill/internal/stats"
	"fescuerill/platform"
)

func newHost() *cobra.Command {
	var file string
	var check bool
	c := &cobra.Command{
		Use:   "host [--settings FILE] [--check]",
		Short: "Run a host on the operators' platform",
		Long: `Run a host on the operators' platform until it receives a signal to stop.

SIGTERM and SIGINT begin a planned stop: the directory no longer returns the host
to callers, the host serves until callers that know its address have refreshed
their addresses, finishes every request and exits with code 0. A second signal
ends the process without waiting. SIGHUP reloads the settings file.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				file = platform.SettingsPath()
			}
			if check {
				_, _, err := platform.ReadSettings(file)
				return err
			}
			return runHost(c, file)
		},
	}
	c.Flags().BoolVar(&check, "check", false, "only check the settings file and report all errors in it")
	c.Flags().StringVar(&file, "settings", "", "settings file of the platform (default: the one that the environment variable FESCUERILL_NODE_FILE names)")
	return c
}

func runHost(c *cobra.Command, file string) error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	settings, address, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	logWriter := logwriter.New(c.OutOrStdout())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		logWriter.Run(ctx)
		close(done)
	}()
	defer func() {
		cancel()
		<-done
	}()
	log := slog.New(slog.NewTextHandler(logWriter, nil))
	slog.SetDefault(log)
	client := platform.NewClient(address)
	s, err := server.Start(settings, client, log, &stats.Registry{})
	if err != nil {
		log.Error("not started", "error", err)
		return err
	}
	handleSignals(signals, s, func() { reloadSettings(s, client, file, log) })
	return nil
}

// handleSignals reloads the settings on SIGHUP, and stops the host on SIGTERM or SIGINT. Before a
// stop it reloads them too, since the file may change without a signal. It returns when the host
// has stopped. A second SIGTERM or SIGINT ends the graceful stop early.
func handleSignals(signals <-chan os.Signal, s *server.Server, reload func()) {
	for got := range signals {
		reload()
		if got != syscall.SIGHUP {
			break
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for {
			select {
			case got := <-signals:
				if got != syscall.SIGHUP {
					cancel()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	s.Stop(ctx)
}

// reloadSettings applies the settings file. If it cannot be used, the settings stay in force.
func reloadSettings(s *server.Server, client *platform.Client, file string, log *slog.Logger) {
	settings, address, err := platform.ReadSettings(file)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	if client.SetAddress(address) {
		log.Info("store address changed", "address", address)
	}
	s.Reload(settings)
}

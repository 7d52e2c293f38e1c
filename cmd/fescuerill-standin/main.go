// Command fescuerill-standin runs stand-ins for the platform's store and host
// list and for the targets of a deployment, for trying fescuerill out and for
// tests with processes of their own. It prints the settings file of the
// deployment and serves until it is told to stop.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"fescuerill/docs"
	"fescuerill/internal/standin"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "fescuerill-standin:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var address, file string
	var base time.Duration
	c := &cobra.Command{
		Use:          "fescuerill-standin --store ADDRESS --settings FILE",
		Short:        "Run stand-ins for the platform and for the targets of a small deployment",
		SilenceUsage: true,
		Args:         cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c, address, file, base)
		},
	}
	c.Flags().StringVar(&address, "store", "127.0.0.1:7900", "IP address and port of the store and the host list")
	c.Flags().StringVar(&file, "settings", "deployment.toml", "file to write the settings of the deployment to")
	c.Flags().DurationVar(&base, "base", 2*time.Millisecond, "time of an exchange with a target")
	return c
}

func serve(c *cobra.Command, address, file string, base time.Duration) error {
	corpus, err := standin.NewCorpus(docs.Files)
	if err != nil {
		return err
	}
	deployment, err := standin.NewDeployment(standin.TrustShape(), corpus, standin.TargetOptions{BaseLatency: base, ColdLatencyFactor: 2})
	if err != nil {
		return err
	}
	defer deployment.Close()
	store := &standin.Store{}
	mux := http.NewServeMux()
	mux.Handle("/v1/", store)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, http.StatusOK, deployment.Totals()) })
	server, err := standin.Listen(address, mux)
	if err != nil {
		return err
	}
	defer server.Stop()
	if err := os.WriteFile(file, []byte(deployment.Settings()), 0o600); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "store and host list at %s, %d targets, settings in %s\n", server.Address(), len(deployment.TargetPaths()), file)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

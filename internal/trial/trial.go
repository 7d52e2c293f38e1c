package trial

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"fescuerill/caller"
	"fescuerill/docs"
	"fescuerill/internal/daemon"
	"fescuerill/internal/network"
	"fescuerill/internal/standin"
	"fescuerill/settings"
	"fescuerill/store"
)

// readyTimeout bounds the wait until the daemons are ready.
const readyTimeout = 20 * time.Second

// Options configures a Cluster.
type Options struct {
	// Shape describes the targets and the settings.
	Shape standin.Shape
	// Hosts is the number of daemons to start.
	Hosts int
	// Target gives the latencies and the seed of the targets and whether they start
	// warm. Their capacity comes from Shape.
	Target standin.TargetOptions
	// DisablePolicies disables retries, hedges and the other policies listed at
	// daemon.Options. The benchmarks use this as their baseline.
	DisablePolicies bool
	// LeaseTime and AddressValidity are settings of the daemons. The defaults are
	// 2 s and 1 s.
	LeaseTime, AddressValidity time.Duration
	// MaxInFlight is the maximum number of concurrent queries that a daemon admits.
	// The default is settings.DefaultMaxInFlight.
	MaxInFlight int
	// SeparateStores gives each daemon its own store, so that each considers
	// itself the owner of all targets. It models hosts that send to targets
	// directly and count slots independently of one another.
	SeparateStores bool
	// Memory connects all components without sockets. If it is nil, TCP is used.
	// Its endpoints are the IDs of the daemons, "store", "caller", and the data
	// centre of each target.
	Memory *network.Memory
	// Log receives the logs of the daemons. If it is nil, they are discarded.
	Log *slog.Logger
}

// networkFor returns the network as seen by the named endpoint.
func (o Options) networkFor(name string) network.Network {
	if o.Memory == nil {
		return network.TCP{}
	}
	return o.Memory.Endpoint(name)
}

// Cluster is a running deployment of stand-ins and daemons. Use Start to create
// one.
type Cluster struct {
	options        Options
	store          *standin.Store
	storeServer    *standin.Server
	separateStores []*standin.Server
	storeClient    *store.Client
	corpus         *standin.Corpus
	deployment     *standin.Deployment
	daemons        []*daemon.Daemon
}

// Start starts the stand-ins and the daemons and waits until all are ready.
func Start(o Options) (*Cluster, error) {
	if o.LeaseTime == 0 {
		o.LeaseTime = 2 * time.Second
	}
	if o.AddressValidity == 0 {
		o.AddressValidity = time.Second
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = settings.DefaultMaxInFlight
	}
	c := &Cluster{options: o, store: &standin.Store{}}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.corpus, err = standin.NewCorpus(docs.Files); err != nil {
		return errors.Wrap(err, "trial: index corpus")
	}
	if c.storeServer, err = standin.ListenOn(c.options.networkFor("store"), "127.0.0.1:0", c.store); err != nil {
		return errors.Wrap(err, "trial: start store")
	}
	if c.deployment, err = standin.NewDeploymentOn(c.options.networkFor, c.options.Shape, c.corpus, c.options.Target); err != nil {
		return errors.Wrap(err, "trial: start targets")
	}
	c.storeClient = c.newStoreClient(c.storeServer.Address())
	if err := c.ApplySettings(c.deployment.Settings()); err != nil {
		return err
	}
	for range c.options.Hosts {
		if _, err := c.AddDaemon(); err != nil {
			return err
		}
	}
	return c.AwaitReady()
}

// ApplySettings writes a new revision of the settings, given as TOML, to the
// store.
func (c *Cluster) ApplySettings(text string) error { return applySettings(c.storeClient, text) }

func applySettings(s store.Service, text string) error {
	tree, err := settings.ParseTree("trial.toml", []byte(text))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	current, _, err := settings.CurrentManifest(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	id := fmt.Sprintf("trial-%d-%d", current.Revision+1, time.Now().UnixNano())
	_, err = settings.Apply(ctx, s, tree, settings.Change{ID: id, Author: "trial", Base: current.Revision})
	return err
}

// AddDaemon starts another daemon. The daemons added are distributed evenly over
// the data centres.
func (c *Cluster) AddDaemon() (*daemon.Daemon, error) {
	n := len(c.daemons)
	return c.StartDaemon(fmt.Sprintf("entry-%d", n+1), c.options.Shape.DataCentres[n%len(c.options.Shape.DataCentres)])
}

// StartDaemon starts a daemon with the ID in a data centre and adds it to the
// host list.
func (c *Cluster) StartDaemon(id, dataCentre string) (*daemon.Daemon, error) {
	callerAddress, err := freeAddress(c.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	peerAddress, err := freeAddress(c.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	storeAddress, err := c.storeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("id = %q\ndata-centre = %q\ncaller-address = %q\npeer-address = %q\nstore = %q\nhost-list = %q\naddress-validity = %q\nlease-time = %q\nadmitted = %d\n",
		id, dataCentre, callerAddress, peerAddress, storeAddress, storeAddress, c.options.AddressValidity, c.options.LeaseTime, c.options.MaxInFlight)
	node, err := settings.ParseNode(id+".toml", []byte(text))
	if err != nil {
		return nil, err
	}
	d, err := daemon.Start(node, daemon.Options{DisablePolicies: c.options.DisablePolicies, Log: c.options.Log, Network: c.options.networkFor(id)})
	if err != nil {
		return nil, err
	}
	c.daemons = append(c.daemons, d)
	c.store.SetHost(id, "live", peerAddress)
	return d, nil
}

// storeAddress returns the address of the store that the next daemon uses. With
// Options.SeparateStores it starts a new store.
func (c *Cluster) storeAddress() (string, error) {
	if !c.options.SeparateStores {
		return c.storeServer.Address(), nil
	}
	s, err := standin.ListenOn(c.options.networkFor("store"), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		return "", errors.Wrap(err, "trial: start separate store")
	}
	c.separateStores = append(c.separateStores, s)
	client := c.newStoreClient(s.Address())
	defer client.Close()
	return s.Address(), applySettings(client, c.deployment.Settings())
}

// newStoreClient returns a new client of the store at the address.
func (c *Cluster) newStoreClient(address string) *store.Client {
	client := store.NewClient(address)
	client.SetDial(c.options.networkFor("caller").Dial)
	return client
}

// NewCaller returns a new client of the daemons.
func (c *Cluster) NewCaller() *caller.Client {
	client := caller.NewClient("", c.Addresses()...)
	client.SetDial(c.options.networkFor("caller").Dial)
	return client
}

// freeAddress returns a loopback address with a port that is free at the moment.
func freeAddress(n network.Network) (string, error) {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "trial: find free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// AwaitReady waits until every daemon is ready for requests and has discovered
// every target, and all targets are usable. It fails after 20 s.
func (c *Cluster) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("trial: timed out waiting for daemons to become ready")
}

func (c *Cluster) ready() bool {
	usable := 0
	for _, d := range c.daemons {
		if !d.Ready() || d.KnownTargets() < len(c.deployment.TargetPaths()) {
			return false
		}
		usable += d.UsableTargets()
	}
	expected := len(c.deployment.TargetPaths())
	if c.options.SeparateStores {
		expected *= len(c.daemons)
	}
	return usable == expected
}

// Store returns the stand-in for the platform's store and host list.
func (c *Cluster) Store() *standin.Store { return c.store }

// StoreClient returns the client of the stand-in store. Close closes it.
func (c *Cluster) StoreClient() *store.Client { return c.storeClient }

// Corpus returns the index that the targets serve.
func (c *Cluster) Corpus() *standin.Corpus { return c.corpus }

// Deployment returns the targets.
func (c *Cluster) Deployment() *standin.Deployment { return c.deployment }

// Daemons returns the daemons that were started and not removed.
func (c *Cluster) Daemons() []*daemon.Daemon { return c.daemons }

// RemoveDaemon removes a daemon that has ended from Daemons and from the host
// list. It does not stop the daemon.
func (c *Cluster) RemoveDaemon(d *daemon.Daemon) {
	c.store.SetHost(d.ID(), "", "")
	kept := c.daemons[:0]
	for _, other := range c.daemons {
		if other != d {
			kept = append(kept, other)
		}
	}
	c.daemons = kept
}

// Addresses returns the caller addresses of the daemons.
func (c *Cluster) Addresses() []string {
	out := make([]string, len(c.daemons))
	for i, d := range c.daemons {
		out[i] = d.CallerAddress()
	}
	return out
}

// Counter returns the sum of a counter over all daemons.
func (c *Cluster) Counter(name string) int64 {
	var sum int64
	for _, d := range c.daemons {
		sum += d.Stats().Count(name)
	}
	return sum
}

// Close kills the daemons and stops the stand-ins.
func (c *Cluster) Close() {
	for _, d := range c.daemons {
		d.Kill()
	}
	for _, s := range c.separateStores {
		s.Stop()
	}
	if c.deployment != nil {
		c.deployment.Close()
	}
	if c.storeClient != nil {
		c.storeClient.Close()
	}
	if c.storeServer != nil {
		c.storeServer.Stop()
	}
}

// TargetConnections returns the number of connections to targets that the daemons
// have opened so far.
func (c *Cluster) TargetConnections() int64 {
	var sum int64
	for _, d := range c.daemons {
		sum += d.TargetConnections()
	}
	return sum
}

// Memory returns the in-memory network that connects all components, or nil if
// they use TCP.
func (c *Cluster) Memory() *network.Memory { return c.options.Memory }

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

// Options configures a Trial.
type Options struct {
	// Shape describes the targets and the settings.
	Shape standin.Shape
	// Hosts is the number of daemons to start.
	Hosts int
	// Target gives the latencies of the targets and the seed.
	Target standin.TargetOptions
	// DisablePolicies turns the daemons' policies towards targets off, such as cold start,
	// retries and hedges. It is the baseline of the measurements.
	DisablePolicies bool
	// LeaseTime and AddressValidity are settings of the daemons. The defaults are
	// 2 s and 1 s.
	LeaseTime, AddressValidity time.Duration
	// MaxInFlight is the maximum number of concurrent queries that a daemon admits.
	// The default is settings.DefaultAdmitted.
	MaxInFlight int
	// SeparateStores gives each daemon its own store, so that each considers itself the
	// owner of all targets. It models hosts that send to targets directly and
	// count slots independently of one another.
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
	platformStore  *store.Client
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
	t := &Cluster{options: o, store: &standin.Store{}}
	if err := t.start(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Cluster) start() error {
	var err error
	if t.corpus, err = standin.NewCorpus(docs.Files); err != nil {
		return errors.Wrap(err, "trial: index corpus")
	}
	if t.storeServer, err = standin.ListenOn(t.options.networkFor("store"), "127.0.0.1:0", t.store); err != nil {
		return errors.Wrap(err, "trial: start store")
	}
	if t.deployment, err = standin.NewDeploymentOn(t.options.networkFor, t.options.Shape, t.corpus, t.options.Target); err != nil {
		return errors.Wrap(err, "trial: start targets")
	}
	t.platformStore = t.newStoreClient(t.storeServer.Address())
	if err := t.ApplySettings(t.deployment.Settings()); err != nil {
		return err
	}
	for range t.options.Hosts {
		if _, err := t.AddDaemon(); err != nil {
			return err
		}
	}
	return t.AwaitReady()
}

// ApplySettings writes a new revision of the settings, given as TOML, to the store.
func (t *Cluster) ApplySettings(text string) error { return applySettings(t.platformStore, text) }

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
func (t *Cluster) AddDaemon() (*daemon.Daemon, error) {
	n := len(t.daemons)
	return t.StartDaemon(fmt.Sprintf("entry-%d", n+1), t.options.Shape.DataCentres[n%len(t.options.Shape.DataCentres)])
}

// StartDaemon starts a daemon with the ID in a data centre and adds it to the
// host list.
func (t *Cluster) StartDaemon(id, dataCentre string) (*daemon.Daemon, error) {
	callerAddress, err := freeAddress(t.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	peerAddress, err := freeAddress(t.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	storeAddress, err := t.storeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("id = %q\ndata-centre = %q\ncaller-address = %q\npeer-address = %q\nstore = %q\nhost-list = %q\naddress-validity = %q\nlease-time = %q\nadmitted = %d\n",
		id, dataCentre, callerAddress, peerAddress, storeAddress, storeAddress, t.options.AddressValidity, t.options.LeaseTime, t.options.MaxInFlight)
	node, err := settings.ParseNode(id+".toml", []byte(text))
	if err != nil {
		return nil, err
	}
	d, err := daemon.Start(node, daemon.Options{DisablePolicies: t.options.DisablePolicies, Log: t.options.Log, Network: t.options.networkFor(id)})
	if err != nil {
		return nil, err
	}
	t.daemons = append(t.daemons, d)
	t.store.SetHost(id, "live", peerAddress)
	return d, nil
}

// storeAddress returns the address of the store that the next daemon uses. With
// Options.Separate it starts a new store.
func (t *Cluster) storeAddress() (string, error) {
	if !t.options.SeparateStores {
		return t.storeServer.Address(), nil
	}
	s, err := standin.ListenOn(t.options.networkFor("store"), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		return "", errors.Wrap(err, "trial: start separate store")
	}
	t.separateStores = append(t.separateStores, s)
	client := t.newStoreClient(s.Address())
	defer client.Close()
	return s.Address(), applySettings(client, t.deployment.Settings())
}

// newStoreClient returns a new client of the store at the address.
func (t *Cluster) newStoreClient(address string) *store.Client {
	c := store.NewClient(address)
	c.SetDial(t.options.networkFor("caller").Dial)
	return c
}

// NewCaller returns a new client of the daemons.
func (t *Cluster) NewCaller() *caller.Client {
	c := caller.NewClient("", t.Addresses()...)
	c.SetDial(t.options.networkFor("caller").Dial)
	return c
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
func (t *Cluster) AwaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if t.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("trial: timed out waiting for daemons to become ready")
}

func (t *Cluster) ready() bool {
	usable := 0
	for _, d := range t.daemons {
		if !d.Ready() || d.KnownTargets() < len(t.deployment.TargetPaths()) {
			return false
		}
		usable += d.UsableTargets()
	}
	expected := len(t.deployment.TargetPaths())
	if t.options.SeparateStores {
		expected *= len(t.daemons)
	}
	return usable == expected
}

// Store returns the stand-in for the platform's store and host list.
func (t *Cluster) Store() *standin.Store { return t.store }

// StoreClient returns a client of the stand-in store.
func (t *Cluster) StoreClient() *store.Client { return t.platformStore }

// Corpus returns the index that the targets serve.
func (t *Cluster) Corpus() *standin.Corpus { return t.corpus }

// Deployment returns the targets.
func (t *Cluster) Deployment() *standin.Deployment { return t.deployment }

// Daemons returns the daemons that were started and not removed.
func (t *Cluster) Daemons() []*daemon.Daemon { return t.daemons }

// RemoveDaemon removes a daemon that has ended from Daemons and from the host list. It
// does not stop the daemon.
func (t *Cluster) RemoveDaemon(d *daemon.Daemon) {
	t.store.SetHost(d.ID(), "", "")
	kept := t.daemons[:0]
	for _, other := range t.daemons {
		if other != d {
			kept = append(kept, other)
		}
	}
	t.daemons = kept
}

// Addresses returns the caller addresses of the daemons.
func (t *Cluster) Addresses() []string {
	out := make([]string, len(t.daemons))
	for i, d := range t.daemons {
		out[i] = d.CallerAddress()
	}
	return out
}

// Counter returns the sum of a counter over all daemons.
func (t *Cluster) Counter(name string) int64 {
	var sum int64
	for _, d := range t.daemons {
		sum += d.Stats().Count(name)
	}
	return sum
}

// Close kills the daemons and stops the stand-ins.
func (t *Cluster) Close() {
	for _, d := range t.daemons {
		d.Kill()
	}
	for _, s := range t.separateStores {
		s.Stop()
	}
	if t.deployment != nil {
		t.deployment.Close()
	}
	if t.platformStore != nil {
		t.platformStore.Close()
	}
	if t.storeServer != nil {
		t.storeServer.Stop()
	}
}

// TargetConnections returns the number of connections to targets that the daemons have
// opened so far.
func (t *Cluster) TargetConnections() int64 {
	var sum int64
	for _, d := range t.daemons {
		sum += d.TargetConnections()
	}
	return sum
}

// Memory returns the in-memory network that connects all components, or nil if
// they use TCP.
func (t *Cluster) Memory() *network.Memory { return t.options.Memory }

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

// readyTimeout bounds how long a trial waits for its daemons.
const readyTimeout = 20 * time.Second

// Options describe a trial.
type Options struct {
	Shape standin.Shape
	Hosts int
	// Target gives the times of the targets and the seed.
	Target standin.TargetOptions
	// Plain runs the daemons without the policies at the targets' side.
	Plain bool
	// LeaseTime and AddressValidity are those of the daemons; zero values take
	// short ones.
	LeaseTime, AddressValidity time.Duration
	Admitted                   int
	// Separate gives each daemon a store of its own, so that each takes itself
	// for the owner of all targets. It stands for hosts that count slots each
	// for themselves.
	Separate bool
	// Memory joins the parts without sockets; nil is TCP. Its parties are the
	// names of the daemons, "store", "caller", and the data centres for targets.
	Memory *network.Memory
	Log    *slog.Logger
}

// networkFor returns the network as a party sees it.
func (o Options) networkFor(name string) network.Network {
	if o.Memory == nil {
		return network.TCP{}
	}
	return o.Memory.Side(name)
}

// Trial is a deployment under way. Start makes one.
type Trial struct {
	options        Options
	store          *standin.Store
	storeServer    *standin.Server
	separateStores []*standin.Server
	platformStore  *store.Client
	corpus         *standin.Corpus
	deployment     *standin.Deployment
	daemons        []*daemon.Daemon
}

// Start starts the stand-ins and daemons and waits until all are ready.
func Start(o Options) (*Trial, error) {
	if o.LeaseTime == 0 {
		o.LeaseTime = 2 * time.Second
	}
	if o.AddressValidity == 0 {
		o.AddressValidity = time.Second
	}
	if o.Admitted == 0 {
		o.Admitted = settings.DefaultAdmitted
	}
	t := &Trial{options: o, store: &standin.Store{}}
	if err := t.start(); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Trial) start() error {
	var err error
	if t.corpus, err = standin.NewCorpus(docs.Files); err != nil {
		return errors.Wrap(err, "trial: corpus")
	}
	if t.storeServer, err = standin.ListenOver(t.options.networkFor("store"), "127.0.0.1:0", t.store); err != nil {
		return errors.Wrap(err, "trial: store")
	}
	if t.deployment, err = standin.NewDeploymentOver(t.options.networkFor, t.options.Shape, t.corpus, t.options.Target); err != nil {
		return errors.Wrap(err, "trial: targets")
	}
	t.platformStore = t.storeClient(t.storeServer.Address())
	if err := t.Apply(t.deployment.Settings()); err != nil {
		return err
	}
	for range t.options.Hosts {
		if _, err := t.AddDaemon(); err != nil {
			return err
		}
	}
	return t.AwaitReady()
}

// Apply accepts settings.
func (t *Trial) Apply(text string) error { return applySettings(t.platformStore, text) }

func applySettings(s store.Service, text string) error {
	tree, err := settings.ParseTree("trial.toml", []byte(text))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	present, _, err := settings.Current(ctx, s)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	id := fmt.Sprintf("trial-%d-%d", present.Revision+1, time.Now().UnixNano())
	_, err = settings.Apply(ctx, s, tree, settings.Change{ID: id, Author: "trial", Base: present.Revision})
	return err
}

// AddDaemon starts one more daemon.
func (t *Trial) AddDaemon() (*daemon.Daemon, error) {
	n := len(t.daemons)
	return t.StartDaemon(fmt.Sprintf("entry-%d", n+1), t.options.Shape.DataCentres[n%len(t.options.Shape.DataCentres)])
}

// StartDaemon starts a daemon with the name in a data centre.
func (t *Trial) StartDaemon(id, dataCentre string) (*daemon.Daemon, error) {
	callers, err := freeAddress(t.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	peers, err := freeAddress(t.options.networkFor(id))
	if err != nil {
		return nil, err
	}
	address, err := t.storeAddress()
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf("id = %q\ndata-centre = %q\ncaller-address = %q\npeer-address = %q\nstore = %q\nhost-list = %q\naddress-validity = %q\nlease-time = %q\nadmitted = %d\n",
		id, dataCentre, callers, peers, address, address, t.options.AddressValidity, t.options.LeaseTime, t.options.Admitted)
	node, err := settings.ParseNode(id+".toml", []byte(text))
	if err != nil {
		return nil, err
	}
	d, err := daemon.Start(node, daemon.Options{Plain: t.options.Plain, Log: t.options.Log, Network: t.options.networkFor(id)})
	if err != nil {
		return nil, err
	}
	t.daemons = append(t.daemons, d)
	t.store.SetHost(id, "live", peers)
	return d, nil
}

// storeAddress returns the address of the store for the next daemon.
func (t *Trial) storeAddress() (string, error) {
	if !t.options.Separate {
		return t.storeServer.Address(), nil
	}
	s, err := standin.ListenOver(t.options.networkFor("store"), "127.0.0.1:0", &standin.Store{})
	if err != nil {
		return "", errors.Wrap(err, "trial: store")
	}
	t.separateStores = append(t.separateStores, s)
	own := t.storeClient(s.Address())
	defer own.Close()
	return s.Address(), applySettings(own, t.deployment.Settings())
}

// storeClient returns a client of a store.
func (t *Trial) storeClient(address string) *store.Client {
	c := store.NewClient(address)
	c.SetDial(t.options.networkFor("caller").Dial)
	return c
}

// Caller returns a client that asks the daemons.
func (t *Trial) Caller() *caller.Client {
	c := caller.NewClient("", t.Addresses()...)
	c.SetDial(t.options.networkFor("caller").Dial)
	return c
}

func freeAddress(n network.Network) (string, error) {
	l, err := n.Listen("127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "trial: address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// AwaitReady waits until every daemon takes requests and knows every target.
func (t *Trial) AwaitReady() error {
	end := time.Now().Add(readyTimeout)
	for time.Now().Before(end) {
		if t.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("trial: daemons are not ready in time")
}

func (t *Trial) ready() bool {
	usable := 0
	for _, d := range t.daemons {
		if !d.Ready() || d.Knows() < len(t.deployment.Paths()) {
			return false
		}
		usable += d.Usable()
	}
	wanted := len(t.deployment.Paths())
	if t.options.Separate {
		wanted *= len(t.daemons)
	}
	return usable == wanted
}

// Store returns the stand-in for the platform's store.
func (t *Trial) Store() *standin.Store { return t.store }

// Client returns a client of the stand-in store.
func (t *Trial) Client() *store.Client { return t.platformStore }

// Corpus returns the text that the targets serve.
func (t *Trial) Corpus() *standin.Corpus { return t.corpus }

// Deployment returns the targets.
func (t *Trial) Deployment() *standin.Deployment { return t.deployment }

// Daemons returns the daemons that were started and not forgotten.
func (t *Trial) Daemons() []*daemon.Daemon { return t.daemons }

// Forget removes a daemon that has ended, also from the host list.
func (t *Trial) Forget(d *daemon.Daemon) {
	t.store.SetHost(d.ID(), "", "")
	kept := t.daemons[:0]
	for _, one := range t.daemons {
		if one != d {
			kept = append(kept, one)
		}
	}
	t.daemons = kept
}

// Addresses returns the addresses of the daemons for callers.
func (t *Trial) Addresses() []string {
	out := make([]string, len(t.daemons))
	for i, d := range t.daemons {
		out[i] = d.CallerAddress()
	}
	return out
}

// Counter returns the sum of a counter over all daemons.
func (t *Trial) Counter(name string) int64 {
	var sum int64
	for _, d := range t.daemons {
		sum += d.Tally().Count(name)
	}
	return sum
}

// Close ends everything at once.
func (t *Trial) Close() {
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

// Connections returns the connections opened to targets so far.
func (t *Trial) Connections() int64 {
	var sum int64
	for _, d := range t.daemons {
		sum += d.TargetConnections()
	}
	return sum
}

// Memory returns the network that joins the parts, nil for TCP.
func (t *Trial) Memory() *network.Memory { return t.options.Memory }

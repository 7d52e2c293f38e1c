package daemon

import (
	"context"
	crypto "crypto/rand"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/link"
	"fescuerill/internal/network"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/schema/platform"
	"fescuerill/internal/stats"
	"fescuerill/settings"
	"fescuerill/store"
)

// Options are what is not in a daemon's settings.
type Options struct {
	// Log takes the daemon's events. A nil Log drops them.
	Log *slog.Logger
	// DisablePolicies switches the policies at the targets' side off: no cold start, no
	// early refusal, no retries, no hedges. It is the baseline of the
	// measurements.
	DisablePolicies bool
	// Network is the one to use; nil is TCP.
	Network network.Network
}

// watchAgain is how often a host looks whether it is to watch the store.
const watchAgain = time.Second

// Daemon is one host of the system. Start makes one.
type Daemon struct {
	node        *settings.Node
	options     Options
	log         *slog.Logger
	incarnation string
	began       time.Time
	tally       *stats.Registry
	traffic     link.Traffic

	store     store.Service
	client    *store.Client
	fleet     *fleet
	ownership *ownership
	entry     *entry
	actions   *actions
	gossip    *gossip
	keeper    *settingsKeeper
	division  atomic.Pointer[division]

	// dividing is held while a division is put in force; mu guards the links.
	dividing sync.Mutex
	mu       sync.Mutex
	links    map[string]*remote

	http    *http.Server
	peers   *link.Server
	cancel  context.CancelFunc
	duties  sync.WaitGroup
	leaving atomic.Bool
}

// Start listens at the addresses of the settings and starts the duties of a
// daemon.
func Start(n *settings.Node, o Options) (*Daemon, error) {
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	d := &Daemon{
		node: n, options: o, log: o.Log.With("host", n.ID()), incarnation: crypto.Text(),
		began: time.Now(), tally: &stats.Registry{}, links: map[string]*remote{},
	}
	callers, err := o.Network.Listen(n.CallerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "daemon: caller address")
	}
	peers, err := o.Network.Listen(n.PeerAddress())
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "daemon: peer address")
	}
	d.client = store.NewClient(n.Store())
	d.client.SetDial(o.Network.Dial)
	d.store = d.client
	d.wire()
	d.peers = link.Serve(peers, peerHandler{d}, &d.traffic)
	d.serve(callers)
	d.start()
	d.log.Info("started", "incarnation", d.incarnation, "callers", n.CallerAddress(), "peers", n.PeerAddress())
	return d, nil
}

// wire makes the parts and joins them.
func (d *Daemon) wire() {
	n := d.node
	d.entry = newEntry(n.ID(), n.DataCentre(), n.MaxInFlight(), d.tally, d.options.DisablePolicies, d.port)
	d.ownership = newOwnership(n.ID(), n.LeaseTime(), d.tally, d.options)
	d.actions = newActions(d)
	d.fleet = &fleet{
		store: d.store, time: n.LeaseTime(), adopt: d.adopt, view: d.entry.view.Load,
		self: platform.Member{
			ID: n.ID(), Incarnation: d.incarnation, CallerAddress: n.CallerAddress(),
			PeerAddress: n.PeerAddress(), DataCentre: n.DataCentre(), State: stateLive,
		},
	}
	if n.HostList() != "" {
		d.fleet.list, d.fleet.lag = store.NewHostList(n.HostList()), hostListLag
		d.fleet.list.SetDial(d.options.Network.Dial)
	}
	d.fleet.cleared = d.ownership.lastCleared
	d.ownership.proven = d.fleet.proven
	d.ownership.release = d.release
	d.keeper = newSettingsKeeper(d)
	d.gossip = newGossip(d)
	d.entry.isolated = d.gossip.isolated
}

// start starts one goroutine for each duty.
func (d *Daemon) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, duty := range []func(context.Context){
		d.fleet.hold, d.fleet.survey, d.ownership.run, d.discover,
		d.gossip.probe, d.gossip.spread, d.gossip.catchUp, d.bootstrap,
		func(ctx context.Context) { d.watch(ctx, "members", d.fleet.watchMembers) },
		func(ctx context.Context) { d.watch(ctx, "settings", d.keeper.watch) },
		func(ctx context.Context) { d.ownership.survey(ctx, d.fleet) },
	} {
		d.duties.Go(func() { duty(ctx) })
	}
}

// watch is the duty that watches one key of the store, on those hosts that do.
func (d *Daemon) watch(ctx context.Context, name string, wait func(context.Context) error) {
	for ctx.Err() == nil {
		if !d.gossip.watching() {
			pause(ctx, watchAgain)
			continue
		}
		if err := wait(ctx); err != nil {
			d.tally.Add("watch-failed-"+name, 1)
			pause(ctx, rand.N(2*storeRetry))
		}
	}
}

// adopt puts a record of members in force.
func (d *Daemon) adopt(r record, asked time.Time) {
	d.dividing.Lock()
	defer d.dividing.Unlock()
	division := divide(r, d.division.Load(), d.keeper.views())
	d.division.Store(division)
	d.connect(r)
	d.gossip.join(r)
	d.ownership.adopt(asked, division)
	d.tally.SetGauge("epoch", r.Epoch)
	d.log.Info("members changed", "epoch", r.Epoch, "hosts", len(r.hosts), "joined", len(r.Joined), "left", len(r.Left))
}

// install puts settings in force.
func (d *Daemon) install(v *settings.Resolved) {
	d.entry.view.Store(v)
	d.ownership.apply(v)
	d.tally.SetGauge("settings-revision", v.Revision())
	d.log.Info("settings in force", "revision", v.Revision(), "targets", v.TargetCount())
	d.redivide()
	d.gossip.changed.Push(struct{}{})
}

// redivide divides the targets once the settings are known for which a record
// of members was written.
func (d *Daemon) redivide() {
	d.dividing.Lock()
	defer d.dividing.Unlock()
	old := d.division.Load()
	if old == nil || len(old.owners) > 0 {
		return
	}
	division := divide(old.record, nil, d.keeper.views())
	d.division.Store(division)
	d.ownership.readopt(time.Now(), division)
}

// connect keeps a link to each host of the record.
func (d *Daemon) connect(r record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, h := range append(slices.Clone(r.hosts), r.before...) {
		wanted[h.ID] = true
		old := d.links[h.ID]
		if h.ID == d.node.ID() || old != nil && old.address == h.PeerAddress {
			continue
		}
		if old != nil {
			go old.link.Close()
		}
		d.links[h.ID] = &remote{address: h.PeerAddress, link: link.New(d.options.Network, h.PeerAddress, d.entry, &d.traffic)}
	}
	for id, r := range d.links {
		if !wanted[id] {
			delete(d.links, id)
			go r.link.Close()
		}
	}
}

// remote is another daemon. It implements port.
type remote struct {
	address string
	link    *link.Link
}

// SendParts implements port.
func (r *remote) SendParts(a peer.QueryParts) { r.link.SendParts(a) }

// Cancel implements port.
func (r *remote) Cancel(c peer.Cancel) { r.link.Cancel(c) }

// port returns the way to the owner of a target.
func (d *Daemon) port(path string) port {
	division := d.division.Load()
	if division == nil {
		return nowhere{d.entry}
	}
	id := division.owners[path]
	if id == d.node.ID() {
		return local{d}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.links[id]; r != nil {
		return r
	}
	return nowhere{d.entry}
}

// nowhere answers for targets without an owner. It implements port.
type nowhere struct {
	entry *entry
}

// SendParts implements port.
func (n nowhere) SendParts(a peer.QueryParts) { n.entry.HandleLost(a, false) }

// Cancel implements port.
func (n nowhere) Cancel(peer.Cancel) {}

// local is the owner role of the same daemon, which is asked without a hop. It
// implements port and teller.
type local struct {
	daemon *Daemon
}

// SendParts implements port.
func (l local) SendParts(a peer.QueryParts) { l.daemon.ownership.ask(l, &a) }

// Cancel implements port.
func (l local) Cancel(c peer.Cancel) { l.daemon.ownership.cancel(l, c) }

// Reply implements teller.
func (l local) Reply(t peer.PartReply) bool {
	l.daemon.entry.route(t)
	return true
}

// SendStateIfChanged implements teller.
func (l local) SendStateIfChanged(s peer.TargetState) { l.daemon.entry.learn(s) }

// SendState implements teller.
func (l local) SendState(s peer.TargetState) { l.daemon.entry.learn(s) }

// Stats returns the daemon's counters.
func (d *Daemon) Stats() *stats.Registry { return d.tally }

// ID returns the name of the host.
func (d *Daemon) ID() string { return d.node.ID() }

// Incarnation returns the name of this run of the daemon.
func (d *Daemon) Incarnation() string { return d.incarnation }

// StoreBytes returns the bytes sent to and received from the platform's store.
func (d *Daemon) StoreBytes() int64 {
	return d.client.BytesTransferred()
}

// PeerTraffic returns the bytes sent to and received from other daemons.
func (d *Daemon) PeerTraffic() *link.Traffic { return &d.traffic }

// CallerAddress returns the IP address and port for callers.
func (d *Daemon) CallerAddress() string { return d.node.CallerAddress() }

// UsableTargets returns the number of targets that the host owns and may use.
func (d *Daemon) UsableTargets() int { return d.ownership.usable() }

// KnownTargets returns the number of targets whose holdings are known.
func (d *Daemon) KnownTargets() int {
	v, n := d.entry.view.Load(), 0
	if v == nil {
		return 0
	}
	for _, s := range v.Services() {
		for _, b := range s.Targets() {
			if d.entry.catalog.Version(b.Path()) != 0 {
				n++
			}
		}
	}
	return n
}

// SettingsRevision returns the revision of the settings in force, 0 before the first.
func (d *Daemon) SettingsRevision() int { return d.keeper.current() }

// TargetConnections returns the connections opened to the targets that the host
// owns.
func (d *Daemon) TargetConnections() int64 { return d.ownership.connections() }

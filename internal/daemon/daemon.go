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

// Options are the parameters of a daemon that are not in its settings.
type Options struct {
	// Log receives log messages. If it is nil they are discarded.
	Log *slog.Logger
	// DisablePolicies disables cold starts, early refusal, retries, hedges,
	// cancellation at targets, stall detection and reductions of the admission
	// limit. It is the baseline of the benchmarks.
	DisablePolicies bool
	// Network is the network to use; nil means TCP.
	Network network.Network
}

// watchRoleInterval is how often a host that does not watch the store checks
// whether it should.
const watchRoleInterval = time.Second

// Daemon is the daemon of one host. Start returns a running one.
type Daemon struct {
	node        *settings.Node
	options     Options
	log         *slog.Logger
	incarnation string
	startedAt   time.Time
	stats       *stats.Registry
	traffic     link.Traffic

	store       store.Service
	client      *store.Client
	fleet       *fleet
	ownership   *ownership
	coordinator *coordinator
	actions     *actions
	gossip      *gossip
	settings    *settingsSync
	assignment  atomic.Pointer[assignment]

	// assignmentMu is held while an assignment is installed; mu guards the
	// links.
	assignmentMu sync.Mutex
	mu           sync.Mutex
	links        map[string]*remoteOwner

	http       *http.Server
	peerServer *link.Server
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	leaving    atomic.Bool
}

// Start listens at the addresses of the settings and starts the goroutines of a
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
		startedAt: time.Now(), stats: &stats.Registry{}, links: map[string]*remoteOwner{},
	}
	callers, err := o.Network.Listen(n.CallerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "daemon: listen on caller address")
	}
	peers, err := o.Network.Listen(n.PeerAddress())
	if err != nil {
		_ = callers.Close()
		return nil, errors.Wrap(err, "daemon: listen on peer address")
	}
	d.client = store.NewClient(n.Store())
	d.client.SetDial(o.Network.Dial)
	d.store = d.client
	d.wire()
	d.peerServer = link.Serve(peers, peerHandler{d}, &d.traffic)
	d.serveCallers(callers)
	d.startLoops()
	d.log.Info("started", "incarnation", d.incarnation, "callers", n.CallerAddress(), "peers", n.PeerAddress())
	return d, nil
}

// wire creates the components and connects them.
func (d *Daemon) wire() {
	n := d.node
	d.coordinator = newCoordinator(n.ID(), n.DataCentre(), n.MaxInFlight(), d.stats, d.options.DisablePolicies, d.ownerFor)
	d.ownership = newOwnership(n.ID(), n.LeaseTime(), d.stats, d.options)
	d.actions = newActions(d)
	d.fleet = &fleet{
		store: d.store, leaseTime: n.LeaseTime(), onMembersChanged: d.applyMembers, currentSettings: d.coordinator.settings.Load,
		self: platform.Member{
			ID: n.ID(), Incarnation: d.incarnation, CallerAddress: n.CallerAddress(),
			PeerAddress: n.PeerAddress(), DataCentre: n.DataCentre(), State: stateLive,
		},
	}
	if n.HostList() != "" {
		d.fleet.hostList, d.fleet.hostListLag = store.NewHostList(n.HostList()), maxHostListLag
		d.fleet.hostList.SetDial(d.options.Network.Dial)
	}
	d.fleet.clearedEpoch = d.ownership.lastClearedEpoch
	d.ownership.leaseValid = d.fleet.leaseValid
	d.ownership.release = d.release
	d.settings = newSettingsSync(d)
	d.gossip = newGossip(d)
	d.coordinator.isolated = d.gossip.isolated
}

// startLoops starts one goroutine for each loop.
func (d *Daemon) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, loop := range []func(context.Context){
		d.fleet.maintainLease, d.fleet.reconcileLoop, d.ownership.shareLoop, d.discoverLoop,
		d.gossip.probeLoop, d.gossip.disseminateLoop, d.gossip.pullLoop, d.bootstrap,
		func(ctx context.Context) { d.watchLoop(ctx, "members", d.fleet.watchMembers) },
		func(ctx context.Context) { d.watchLoop(ctx, "settings", d.settings.watch) },
		func(ctx context.Context) { d.ownership.priorOwnersLoop(ctx, d.fleet) },
	} {
		d.goroutines.Go(func() { loop(ctx) })
	}
}

// watchLoop watches one key of the store while this host is one of those that
// watch.
func (d *Daemon) watchLoop(ctx context.Context, name string, wait func(context.Context) error) {
	for ctx.Err() == nil {
		if !d.gossip.watchesStore() {
			pause(ctx, watchRoleInterval)
			continue
		}
		if err := wait(ctx); err != nil {
			d.stats.Add("watch-failed-"+name, 1)
			pause(ctx, rand.N(2*storeRetryDelay))
		}
	}
}

// applyMembers installs a member list.
func (d *Daemon) applyMembers(members memberList, requestedAt time.Time) {
	d.assignmentMu.Lock()
	defer d.assignmentMu.Unlock()
	assignment := newAssignment(members, d.assignment.Load(), d.settings.recentVersions())
	d.assignment.Store(assignment)
	d.updateLinks(members)
	d.gossip.setMembers(members)
	d.ownership.applyAssignment(requestedAt, assignment)
	d.stats.SetGauge("epoch", members.Epoch)
	d.log.Info("members changed", "epoch", members.Epoch, "hosts", len(members.hosts), "joined", len(members.Joined), "left", len(members.Left))
}

// applySettings installs settings.
func (d *Daemon) applySettings(resolved *settings.Resolved) {
	d.coordinator.settings.Store(resolved)
	d.ownership.applySettings(resolved)
	d.stats.SetGauge("settings-revision", resolved.Revision())
	d.log.Info("settings in force", "revision", resolved.Revision(), "targets", resolved.TargetCount())
	d.reassign()
	d.gossip.changed.Push(struct{}{})
}

// reassign computes the assignment again once the settings are known for which
// the member list was written.
func (d *Daemon) reassign() {
	d.assignmentMu.Lock()
	defer d.assignmentMu.Unlock()
	old := d.assignment.Load()
	if old == nil || len(old.owners) > 0 {
		return
	}
	assignment := newAssignment(old.members, nil, d.settings.recentVersions())
	d.assignment.Store(assignment)
	d.ownership.addTargets(time.Now(), assignment)
}

// updateLinks keeps a link to each other host of the member list and of the one
// before, and closes all others.
func (d *Daemon) updateLinks(members memberList) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, h := range append(slices.Clone(members.hosts), members.previousHosts...) {
		wanted[h.ID] = true
		old := d.links[h.ID]
		if h.ID == d.node.ID() || old != nil && old.address == h.PeerAddress {
			continue
		}
		if old != nil {
			go old.link.Close()
		}
		d.links[h.ID] = &remoteOwner{address: h.PeerAddress, link: link.New(d.options.Network, h.PeerAddress, d.coordinator, &d.traffic)}
	}
	for id, r := range d.links {
		if !wanted[id] {
			delete(d.links, id)
			go r.link.Close()
		}
	}
}

// remoteOwner is the owner role of another daemon. It implements ownerClient.
type remoteOwner struct {
	address string
	link    *link.Link
}

// SendParts implements ownerClient.
func (r *remoteOwner) SendParts(q peer.QueryParts) { r.link.SendParts(q) }

// Cancel implements ownerClient.
func (r *remoteOwner) Cancel(c peer.Cancel) { r.link.Cancel(c) }

// ownerFor returns the client of the owner of a target.
func (d *Daemon) ownerFor(path string) ownerClient {
	assignment := d.assignment.Load()
	if assignment == nil {
		return noOwner{d.coordinator}
	}
	id := assignment.owners[path]
	if id == d.node.ID() {
		return localOwner{d}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.links[id]; r != nil {
		return r
	}
	return noOwner{d.coordinator}
}

// noOwner reports parts for targets without an owner as lost. It implements
// ownerClient.
type noOwner struct {
	coordinator *coordinator
}

// SendParts implements ownerClient.
func (n noOwner) SendParts(q peer.QueryParts) { n.coordinator.HandleLost(q, false) }

// Cancel implements ownerClient.
func (n noOwner) Cancel(peer.Cancel) {}

// localOwner is the owner role of the same daemon, which is called directly. It
// implements ownerClient and responder.
type localOwner struct {
	daemon *Daemon
}

// SendParts implements ownerClient.
func (l localOwner) SendParts(q peer.QueryParts) { l.daemon.ownership.handleParts(l, &q) }

// Cancel implements ownerClient.
func (l localOwner) Cancel(c peer.Cancel) { l.daemon.ownership.cancel(l, c) }

// Reply implements responder.
func (l localOwner) Reply(r peer.PartReply) bool {
	l.daemon.coordinator.deliver(r)
	return true
}

// SendStateIfChanged implements responder. It passes on every state, since no
// message is saved by skipping unchanged ones.
func (l localOwner) SendStateIfChanged(s peer.TargetState) { l.daemon.coordinator.updateTarget(s) }

// SendState implements responder.
func (l localOwner) SendState(s peer.TargetState) { l.daemon.coordinator.updateTarget(s) }

// Stats returns the counters of the daemon.
func (d *Daemon) Stats() *stats.Registry { return d.stats }

// ID returns the ID of the host.
func (d *Daemon) ID() string { return d.node.ID() }

// Incarnation returns the identifier of this incarnation of the host. Each
// start of the daemon has a new one.
func (d *Daemon) Incarnation() string { return d.incarnation }

// StoreBytes returns the number of bytes sent to and received from the
// platform's store.
func (d *Daemon) StoreBytes() int64 {
	return d.client.BytesTransferred()
}

// PeerTraffic returns the number of bytes sent to and received from other
// daemons.
func (d *Daemon) PeerTraffic() *link.Traffic { return &d.traffic }

// CallerAddress returns the IP address and port of the API for callers.
func (d *Daemon) CallerAddress() string { return d.node.CallerAddress() }

// UsableTargets returns the number of targets that the host owns and is allowed
// to use.
func (d *Daemon) UsableTargets() int { return d.ownership.usableTargets() }

// KnownTargets returns the number of targets whose holdings are known.
func (d *Daemon) KnownTargets() int {
	resolved, n := d.coordinator.settings.Load(), 0
	if resolved == nil {
		return 0
	}
	for _, s := range resolved.Services() {
		for _, t := range s.Targets() {
			if d.coordinator.catalog.Version(t.Path()) != 0 {
				n++
			}
		}
	}
	return n
}

// SettingsRevision returns the revision of the settings in force, 0 before the
// first.
func (d *Daemon) SettingsRevision() int { return d.settings.revision() }

// TargetConnections returns the number of connections opened to the targets
// that the host owns.
func (d *Daemon) TargetConnections() int64 { return d.ownership.connections() }

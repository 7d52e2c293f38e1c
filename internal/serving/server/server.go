package server

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/invariant"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/gateway"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/stats"
)

const (
	// memoryShare is the part of the memory that the runtime may use before it
	// collects garbage at any cost.
	memoryShare = 0.7
	// collectAt is the growth of the heap, in per cent, at which garbage is
	// collected.
	collectAt = 100
	// patienceFactor is how much longer some callers keep them.
	patienceFactor = 3
	// stopMargin is the time before the end of the grace by which everything is
	// done.
	stopMargin = 500 * time.Millisecond
	// quietTime is how long no request comes before a leaving host ends early.
	quietTime = time.Second
	// stopStep is how often a leaving host looks whether it may end.
	stopStep = 50 * time.Millisecond
	// directoryTimeout bounds small requests about the host itself.
	directoryTimeout = 2 * time.Second
)

// Platform is what the station needs of the platform beside requests.
type Platform interface {
	feed.Source
	gateway.Decoder
	exchange.Protocol
	// RenewHostRecord keeps a record of this host in the store for a while longer.
	RenewHostRecord(ctx context.Context, h peers.Host) error
	// ListHostRecords returns the hosts with a record; unless fresh, what it says may be seconds
	// old.
	ListHostRecords(ctx context.Context, fresh bool) ([]peers.Host, error)
	// FrontHandler, Ready and Directory return the handlers for callers' requests, for
	// checks of readiness, and for questions for addresses.
	FrontHandler(s *Server) http.Handler
	ReadinessHandler(s *Server) http.Handler
	DirectoryHandler(s *Server) http.Handler
}

// Server is a host at work. Start makes one. Its methods may be called from
// several goroutines.
type Server struct {
	settings Settings
	platform Platform
	log      *slog.Logger
	tally    *stats.Registry
	gateway  *gateway.Gateway
	peers    *peers.Peers
	feed     feed.Feed
	front    *http.Server
	idle     idleConns
	cancel   context.CancelFunc
	stopping atomic.Bool
	active   atomic.Pointer[active]
	// asked is when the last request came, in nanoseconds since began.
	asked atomic.Int64
	began time.Time
	done  sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	cut    directory.IsolationDetector
	// recorded are the hosts with a record in the store, as of recordedAt; they are
	// read again while the data centre is cut off.
	recorded   []peers.Host
	recordedAt time.Time
	// checked is when the hosts elsewhere were last probed out of turn.
	checked time.Time
}

// Start starts all duties of a host.
func Start(settings Settings, platform Platform, log *slog.Logger, t *stats.Registry) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: settings, platform: platform, log: log, tally: t, cancel: cancel, began: time.Now(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
		debug.SetGCPercent(collectAt)
	}
	if err := s.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	log.Info("started", "host", settings.Name, "data-centre", settings.DataCentre, "front", settings.FrontAddress, "peer", settings.PeerAddress)
	return s, nil
}

func (s *Server) start(ctx context.Context) error {
	var lc net.ListenConfig
	datagrams, err := lc.ListenPacket(ctx, "udp", s.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	calls, err := lc.Listen(ctx, "tcp", s.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	self := peers.Self{
		Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre,
		Incarnation: strconv.FormatUint(rand.Uint64(), 36), Cores: s.settings.Cores,
	}
	s.peers = peers.Start(ctx, self, datagrams, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.log, s.tally)
	s.active.Store(s.look(time.Now()))
	s.gateway = gateway.New(ctx, gateway.Options{
		DataCentre: s.settings.DataCentre, Fleet: fleet{Peers: s.peers, station: s}, Decoder: s.platform, Protocol: s.platform,
		Dial: exchange.DialTCP, Bounds: s.settings.Bounds,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: s.log, Stats: s.tally,
	})
	if s.settings.RelayAddress != "" {
		parts, err := lc.Listen(ctx, "tcp", s.settings.RelayAddress)
		if err != nil {
			return errors.Wrap(err, "relay address")
		}
		s.done.Go(func() { relay.Serve(ctx, parts, s.gateway.Forward, s.log) })
	}
	s.feed.Reset(s.platform, s.peers, s.gateway, s.log, s.tally)
	s.done.Go(func() { s.peers.Serve(ctx, calls, &s.feed) })
	s.peers.ProbeAll(s.settings.SeedAddresses)
	s.done.Go(func() { s.feed.Run(ctx) })
	s.done.Go(func() { s.gateway.RunMaintenance(ctx) })
	s.done.Go(func() { s.keepRecord(ctx, self) })
	s.done.Go(func() { s.endIdle(ctx) })
	s.done.Go(func() { s.keepLooking(ctx) })
	return s.listen(ctx)
}

func (s *Server) listen(ctx context.Context) error {
	s.front = &http.Server{
		Handler:           s.platform.FrontHandler(s),
		ReadHeaderTimeout: headerMost,
		MaxHeaderBytes:    64 << 10,
		ConnState:         s.idle.note,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	limited := func(l net.Listener) net.Listener { return callerListener{Listener: l, limit: s.headerLimit} }
	if err := s.serve(ctx, s.front, s.settings.FrontAddress, limited); err != nil {
		return errors.Wrap(err, "front address")
	}
	small := map[string]http.Handler{
		s.settings.ReadinessAddress: s.platform.ReadinessHandler(s), s.settings.DirectoryAddress: s.platform.DirectoryHandler(s), s.settings.MetricsAddress: s.metrics(),
	}
	for address, handler := range small {
		if address == "" {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: directoryTimeout, IdleTimeout: time.Minute}
		if err := s.serve(ctx, server, address, nil); err != nil {
			return errors.Wrap(err, "address "+address)
		}
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// serve listens on an address; wrap, if there is one, changes the listener.
func (s *Server) serve(ctx context.Context, server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if wrap != nil {
		l = wrap(l)
	}
	s.done.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("no longer listening", "address", address, "error", err)
		}
	})
	return nil
}

// Gateway returns what serves requests.
func (s *Server) Gateway() *gateway.Gateway { return s.gateway }

// RecordRequest notes that a request came.
func (s *Server) RecordRequest() { s.asked.Store(int64(time.Since(s.began))) }

// Stopping reports whether the host is leaving.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Ready reports whether the host takes callers.
func (s *Server) Ready() bool { return !s.Stopping() && s.gateway.Ready() }

// Reload takes settings that have changed. Addresses stay as they were.
func (s *Server) Reload(settings Settings) {
	s.gateway.SetBounds(settings.Bounds)
	s.log.Info("settings reloaded", "host", settings.Name)
}

// Stop ends the host in order: callers are no longer told to use it, it serves
// until those that were have other addresses, and finishes every request.
func (s *Server) Stop(ctx context.Context) {
	began := time.Now()
	s.stopping.Store(true)
	s.log.Info("stopping", "grace-ms", s.settings.GracePeriod.Milliseconds(), "running", s.gateway.InFlight())
	s.peers.Leave()
	known := began.Add(patienceFactor*answerValid + quietTime/2)
	end := began.Add(max(stopMargin, s.settings.GracePeriod-stopMargin))
	s.gateway.SetShutdownDeadline(end)
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		quiet := now.Sub(s.began) - time.Duration(s.asked.Load())
		if now.After(known) && s.gateway.InFlight() == 0 && quiet > quietTime {
			break
		}
		time.Sleep(stopStep)
	}
	finish, cancel := context.WithDeadline(ctx, end.Add(stopMargin/2))
	defer cancel()
	err := s.front.Shutdown(finish)
	s.log.Info("stopped", "took-ms", time.Since(began).Milliseconds(), "unfinished", s.gateway.InFlight(), "error", err)
	s.cancel()
	s.done.Wait()
}

// metrics serves the counters as text.
func (s *Server) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		store := s.feed.State(now)
		s.gateway.UpdateGauges(now)
		live := 1
		s.peers.Each(func(h peers.Host) {
			if h.State == host.Alive {
				live++
			}
		})
		s.tally.SetGauge("store-revision", int(store.Revision))
		s.tally.SetGauge("store-age-ms", int(store.Age.Milliseconds()))
		s.tally.SetGauge("store-reached", flag(store.Reachable))
		if !store.ChangedAt.IsZero() {
			s.tally.SetGauge("store-turned-s-ago", int(now.Sub(store.ChangedAt).Seconds()))
		}
		s.tally.SetGauge("hosts-live", live)
		s.tally.SetGauge("requests-running", s.gateway.InFlight())
		s.tally.SetGauge("invariant-violations", int(invariant.Violations()))
		s.tally.Each(func(name string, value int64) { fmt.Fprintf(w, "%s %d\n", name, value) })
	})
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/invariant"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/gateway"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/stats"
)

const (
	// memoryLimitShare is the share of the memory that is set as the soft memory limit of
	// the Go runtime, close to which it collects garbage at any CPU cost.
	memoryLimitShare = 0.7
	// answerMemoryShare is the share of the memory for the answers of targets. As much garbage
	// may remain of them until it is collected.
	answerMemoryShare = 0.25
	// gcPercent is the garbage collection target: the growth of the heap, in per cent,
	// that starts a collection.
	gcPercent = 100
	// addressTTLFactor is the multiple of the TTL for which some callers cache
	// addresses.
	addressTTLFactor = 3
	// stopMargin is the time before the end of the grace period by which the shutdown is
	// complete.
	stopMargin = 500 * time.Millisecond
	// drainQuietTime is the time without requests after which a stopping host ends before
	// its grace period is over.
	drainQuietTime = time.Second
	// stopPollInterval is how often a stopping host checks whether it can end.
	stopPollInterval = 50 * time.Millisecond
	// adminHeaderTimeout bounds the time to send the header of a readiness, directory or
	// metrics request.
	adminHeaderTimeout = 2 * time.Second
)

// Platform connects a server to the platform of the operators: its store, its protocol with
// targets and its HTTP interfaces.
type Platform interface {
	feed.Source
	gateway.Decoder
	exchange.Protocol
	// SetMeter sets where the bytes of calls to the store are counted.
	SetMeter(m *traffic.Meter)
	// RenewHostRecord creates or renews the record of this host in the store.
	RenewHostRecord(ctx context.Context, h peers.Host) error
	// ListHostRecords returns the hosts with a record. Unless fresh is set, the records may
	// be seconds old.
	ListHostRecords(ctx context.Context, fresh bool) ([]peers.Host, error)
	// FrontHandler, ReadinessHandler and DirectoryHandler return the handlers for requests
	// of callers, for readiness checks, and for queries for the addresses of hosts.
	FrontHandler(s *Server) http.Handler
	ReadinessHandler(s *Server) http.Handler
	DirectoryHandler(s *Server) http.Handler
}

// Server is a running host. Use Start to create one. Its methods are safe for concurrent
// use.
type Server struct {
	settings Settings
	// reloaded holds the reloadable settings in force.
	reloaded      atomic.Pointer[Reloadable]
	platform      Platform
	log           *slog.Logger
	stats         *stats.Registry
	meter         traffic.Meter
	gateway       *gateway.Gateway
	peers         *peers.Peers
	feed          feed.Feed
	frontServer   *http.Server
	frontListener *callerListener
	callerConns   callerConns
	cancel        context.CancelFunc
	stopping      atomic.Bool
	active        atomic.Pointer[activeHosts]
	// senders is used only by selectActive.
	senders directory.Senders
	// lastRequest is when the last request arrived, in nanoseconds since startedAt.
	lastRequest atomic.Int64
	startedAt   time.Time
	workers     sync.WaitGroup

	mu        sync.Mutex
	random    *rand.Rand
	isolation directory.IsolationDetector
	// recordedHosts are the hosts that had a record in the store at recordsReadAt. While
	// the data centre is isolated, the records are read more often.
	recordedHosts []peers.Host
	recordsReadAt time.Time
	// remoteProbedAt is when hosts of other data centres were last probed out of turn.
	remoteProbedAt time.Time
}

// Start starts a host: its listeners and background workers.
func Start(settings Settings, platform Platform, log *slog.Logger, registry *stats.Registry) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: settings, platform: platform, log: log, stats: registry, cancel: cancel, startedAt: time.Now(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.reloaded.Store(&settings.Reloadable)
	settings.limitMemory()
	platform.SetMeter(&s.meter)
	if err := s.start(ctx); err != nil {
		cancel()
		return nil, err
	}
	log.Info("started", "host", settings.Name, "data-centre", settings.DataCentre, "front", settings.FrontAddress, "peer", settings.PeerAddress)
	return s, nil
}

// start opens the listeners and starts the background workers.
func (s *Server) start(ctx context.Context) error {
	var lc net.ListenConfig
	peerSocket, err := lc.ListenPacket(ctx, "udp", s.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on peer address (UDP)")
	}
	peerListener, err := lc.Listen(ctx, "tcp", s.settings.PeerAddress)
	if err != nil {
		return errors.Wrap(err, "listen on peer address (TCP)")
	}
	self := peers.Self{
		Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre,
		Incarnation: strconv.FormatUint(rand.Uint64(), 36), Cores: s.settings.Cores,
	}
	s.peers = peers.Start(ctx, self, peerSocket, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), s.log, s.stats, &s.meter)
	s.active.Store(s.selectActive(time.Now()))
	s.gateway = gateway.New(ctx, gateway.Options{
		DataCentre: s.settings.DataCentre, Fleet: fleet{Peers: s.peers, server: s}, Decoder: s.platform, Protocol: s.platform,
		Dial: exchange.DialTCP, Bounds: s.settings.Bounds,
		AnswerMemory: s.settings.answerMemory(),
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: s.log, Stats: s.stats, Traffic: &s.meter,
	})
	if s.settings.RelayAddress != "" {
		relayListener, err := lc.Listen(ctx, "tcp", s.settings.RelayAddress)
		if err != nil {
			return errors.Wrap(err, "listen on relay address")
		}
		s.workers.Go(func() { relay.Serve(ctx, relayListener, s.gateway.Forward, s.log, &s.meter) })
	}
	s.feed.Reset(s.platform, s.peers, s.gateway, s.log, s.stats)
	s.workers.Go(func() { s.peers.Serve(ctx, peerListener, &s.feed) })
	s.peers.ProbeAll(s.settings.SeedAddresses)
	s.workers.Go(func() { s.feed.Run(ctx) })
	s.workers.Go(func() { s.gateway.RunMaintenance(ctx) })
	s.workers.Go(func() { s.recordLoop(ctx, self) })
	s.workers.Go(func() { s.closeIdleLoop(ctx) })
	s.workers.Go(func() { s.refreshActiveLoop(ctx) })
	s.workers.Go(func() { s.logTrafficLoop(ctx) })
	return s.startHTTPServers(ctx)
}

// startHTTPServers starts the servers for callers, readiness checks, address queries and
// metrics.
func (s *Server) startHTTPServers(ctx context.Context) error {
	s.frontServer = &http.Server{
		Handler:           s.platform.FrontHandler(s),
		ReadHeaderTimeout: maxHeaderTime,
		MaxHeaderBytes:    64 << 10,
		ConnState:         s.callerConns.setState,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	limited := func(l net.Listener) net.Listener {
		s.frontListener = newCallerListener(l, s.headerLimit, &s.meter)
		return s.frontListener
	}
	if err := s.listenAndServe(ctx, s.frontServer, s.settings.FrontAddress, limited); err != nil {
		return errors.Wrap(err, "listen on front address")
	}
	handlers := map[string]http.Handler{
		s.settings.ReadinessAddress: s.platform.ReadinessHandler(s), s.settings.DirectoryAddress: s.platform.DirectoryHandler(s), s.settings.MetricsAddress: s.metricsHandler(),
	}
	for address, handler := range handlers {
		if address == "" {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: time.Minute}
		if err := s.listenAndServe(ctx, server, address, nil); err != nil {
			return errors.Wrap(err, "listen on "+address)
		}
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// listenAndServe listens on an address and serves requests in the background. If wrap is not
// nil, it wraps the listener.
func (s *Server) listenAndServe(ctx context.Context, server *http.Server, address string, wrap func(net.Listener) net.Listener) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	if wrap != nil {
		l = wrap(l)
	}
	s.workers.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("HTTP server failed", "address", address, "error", err)
		}
	})
	return nil
}

// Gateway returns the gateway that serves requests.
func (s *Server) Gateway() *gateway.Gateway { return s.gateway }

// RecordRequest records that a request of a caller has arrived. Stop waits for a time
// without such requests.
func (s *Server) RecordRequest() { s.lastRequest.Store(int64(time.Since(s.startedAt))) }

// Stopping reports whether Stop has been called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Ready reports whether the host can serve callers.
func (s *Server) Ready() bool { return !s.Stopping() && s.gateway.Ready() }

// Reload applies changed settings that are Reloadable and probes the seed addresses. The others
// keep the values given to Start; changes of these are logged.
func (s *Server) Reload(settings Settings) {
	if names := s.settings.restartRequired(&settings); len(names) > 0 {
		s.log.Warn("settings changed that need a restart", "settings", strings.Join(names, ","))
	}
	s.peers.ProbeAll(settings.SeedAddresses)
	s.reloaded.Store(&settings.Reloadable)
	settings.limitMemory()
	s.gateway.SetAnswerMemory(settings.answerMemory())
	s.gateway.SetBounds(settings.Bounds)
	s.log.Info("settings reloaded", "host", settings.Name, "grace-ms", settings.GracePeriod.Milliseconds())
}

// limitMemory sets the soft memory limit of the Go runtime.
func (r *Reloadable) limitMemory() {
	if r.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(r.MemoryBytes)))
		debug.SetGCPercent(gcPercent)
	}
}

// answerMemory returns the memory in bytes for the answers of targets; 0 if it is not known.
func (r *Reloadable) answerMemory() int64 { return int64(answerMemoryShare * float64(r.MemoryBytes)) }

// Stop shuts the host down gracefully: its address is no longer given to callers, it serves
// until the callers that have the address use other hosts, and it completes the requests in
// flight. It returns early if ctx ends.
func (s *Server) Stop(ctx context.Context) {
	start, active := time.Now(), s.active.Load().selfActive
	gracePeriod := s.reloaded.Load().GracePeriod
	s.stopping.Store(true)
	s.log.Info("stopping", "grace-ms", gracePeriod.Milliseconds(), "running", s.gateway.InFlight())
	s.peers.Leave(active)
	addressesExpired := start.Add(addressTTLFactor*s.addressTTL() + drainQuietTime/2)
	deadline := start.Add(max(stopMargin, gracePeriod-stopMargin))
	s.gateway.SetShutdownDeadline(deadline)
	for now := time.Now(); now.Before(deadline) && ctx.Err() == nil; now = time.Now() {
		quiet := now.Sub(s.startedAt) - time.Duration(s.lastRequest.Load())
		if now.After(addressesExpired) && s.gateway.InFlight() == 0 && quiet > drainQuietTime {
			break
		}
		time.Sleep(stopPollInterval)
	}
	shutdownCtx, cancel := context.WithDeadline(ctx, deadline.Add(stopMargin/2))
	defer cancel()
	s.frontListener.stop()
	err := s.callerConns.drain(shutdownCtx)
	_ = s.frontServer.Close()
	s.log.Info("stopped", "took-ms", time.Since(start).Milliseconds(), "unfinished", s.gateway.InFlight(), "error", err)
	s.cancel()
	s.workers.Wait()
}

// metricsHandler serves the counters and gauges as text.
func (s *Server) metricsHandler() http.Handler {
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
		s.stats.SetGauge("store-era", int(store.Position.Era()))
		s.stats.SetGauge("store-revision", int(store.Position.Revision()))
		s.stats.SetGauge("store-age-ms", int(store.Age.Milliseconds()))
		s.stats.SetGauge("store-reached", boolToInt(store.Reachable))
		if !store.ChangedAt.IsZero() {
			s.stats.SetGauge("store-turned-s-ago", int(now.Sub(store.ChangedAt).Seconds()))
		}
		s.stats.SetGauge("hosts-live", live)
		s.stats.SetGauge("requests-running", s.gateway.InFlight())
		s.stats.SetGauge("invariant-violations", int(invariant.Violations()))
		s.meter.Each(func(name string, count int64) { fmt.Fprintf(w, "%s %d\n", name, count) })
		s.stats.Each(func(name string, value int64) { fmt.Fprintf(w, "%s %d\n", name, value) })
	})
}

// boolToInt returns 1 for true.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

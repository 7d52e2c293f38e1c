package server

import (
	"context"
	"net"
	"time"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/peers"
)

const (
	// refreshInterval is the interval at which the active hosts are selected anew.
	refreshInterval = 250 * time.Millisecond
	// refreshesPerReport is the number of refreshes after which the load is reported and
	// another active host of this data centre is probed out of turn.
	refreshesPerReport = 4
)

// activeHosts holds the active hosts as selected by this host. Active hosts serve callers;
// the others are on standby.
type activeHosts struct {
	// relays maps each other data centre to the relay addresses of its active hosts.
	relays map[string][]string
	// local and total are the numbers of hosts, in this data centre and in all, among
	// which the connections to a target are divided: the active hosts. If this host is on
	// standby, both are the number of the other live hosts, but at least 1.
	local, total int
	// senders is the number of hosts among which the retry allowance is divided. It includes
	// hosts that would be active if they were not silent: these may only be cut off from this
	// host, and still send to the targets.
	senders int
	// localPeers holds the peer addresses of the other active hosts of this data centre;
	// it is empty if no host is on standby.
	localPeers []string
	// selfActive is set if this host is active.
	selfActive bool
}

// selectActive selects the active hosts among the live ones. This host is a candidate
// unless it is stopping.
func (s *Server) selectActive(now time.Time) *activeHosts {
	var known, silent []directory.Host
	s.peers.Each(func(h peers.Host) {
		switch h.State {
		case host.Alive:
			known = append(known, directoryHost(h))
		case host.Suspect, host.Dead:
			silent = append(silent, directoryHost(h))
		}
	})
	alive := len(known)
	self := directory.Host{Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Cores: s.settings.Cores}
	if !s.Stopping() {
		known = append(known, self)
	}
	chosen := directory.AppendActive(nil, known, s.activeShare(now, known))
	a := &activeHosts{relays: map[string][]string{}}
	for _, h := range chosen {
		a.total++
		if h.DataCentre == s.settings.DataCentre {
			a.local++
		}
		switch {
		case h.Address == s.settings.PeerAddress:
			a.selfActive = true
		case h.DataCentre != s.settings.DataCentre:
			if relay := s.joinPort(h.Address, s.settings.RelayAddress); relay != "" {
				a.relays[h.DataCentre] = append(a.relays[h.DataCentre], relay)
			}
		case len(chosen) < len(known):
			a.localPeers = append(a.localPeers, h.Address)
		}
	}
	if !a.selfActive {
		a.local, a.total = max(1, alive), max(1, alive)
	}
	share := func(hosts []directory.Host) directory.Share { return s.activeShare(now, hosts) }
	a.senders = s.senders.Observe(now, directory.CountSenders(self.Address, known, silent, share))
	return a
}

// directoryHost converts a host for package directory.
func directoryHost(h peers.Host) directory.Host {
	return directory.Host{Address: h.Address, DataCentre: h.DataCentre, Cores: h.Cores}
}

// joinPort returns the address with the IP of one address and the port of another, or ""
// if one of them is invalid. All hosts use the same ports.
func (s *Server) joinPort(ipFrom, portFrom string) string {
	ip, _, err := net.SplitHostPort(ipFrom)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(portFrom)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(ip, port)
}

// activeShare returns the share of the cores whose hosts are active. It assumes that other
// data centres have the same load per core as this one.
func (s *Server) activeShare(now time.Time, known []directory.Host) directory.Share {
	parts, ok := s.peers.Load(now)
	if !ok {
		return directory.Share{}
	}
	cores := 0.0
	for _, h := range known {
		if h.DataCentre == s.settings.DataCentre {
			cores += h.Cores
		}
	}
	return directory.ActiveShare(cores, parts)
}

// refreshActiveLoop keeps the selection of active hosts up to date until ctx ends.
func (s *Server) refreshActiveLoop(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	before := s.gateway.PartsSent()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		a := s.selectActive(time.Now())
		s.active.Store(a)
		if n%refreshesPerReport != 0 {
			continue
		}
		parts := s.gateway.PartsSent()
		s.peers.SetLoad(float64(parts-before) / (refreshesPerReport * refreshInterval).Seconds())
		before = parts
		if len(a.localPeers) > 0 {
			s.peers.Probe(a.localPeers[n/refreshesPerReport%len(a.localPeers)])
		}
	}
}

// fleet implements gateway.Fleet.
type fleet struct {
	*peers.Peers
	server *Server
}

// AppendRelays implements gateway.Fleet.
func (f fleet) AppendRelays(dst []string, dataCentre string) []string {
	return append(dst, f.server.active.Load().relays[dataCentre]...)
}

// LocalConnectingHosts implements gateway.Fleet.
func (f fleet) LocalConnectingHosts() int {
	return max(f.server.active.Load().local, f.sizeUntilKnown(f.LocalSize()))
}

// ConnectingHosts implements gateway.Fleet.
func (f fleet) ConnectingHosts() int {
	return max(f.server.active.Load().total, f.sizeUntilKnown(f.Size()))
}

// Senders implements gateway.Fleet.
func (f fleet) Senders() int {
	return max(f.server.active.Load().senders, f.sizeUntilKnown(f.Size()))
}

// sizeUntilKnown returns n until the size of the fleet is known, and 1 from then on.
func (f fleet) sizeUntilKnown(n int) int {
	if f.SizeKnown() {
		return 1
	}
	return n
}

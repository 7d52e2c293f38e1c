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
	// refreshInterval is how often a host works out which hosts carry callers.
	refreshInterval = 250 * time.Millisecond
	// refreshesPerCheck is after how many looks the load is told and a host that carries
	// callers is probed out of turn.
	refreshesPerCheck = 4
)

// activeHosts is which hosts carry callers, as this host sees it.
type activeHosts struct {
	// relays are where those of each data centre take parts.
	relays map[string][]string
	// local and all are over how many hosts of this data centre, and of all, the
	// connections to a target are divided.
	local, total int
	// localPeers are the peer addresses of those of this data centre, but for this host,
	// if not all hosts carry callers.
	localPeers []string
	// selfActive says that this host carries callers.
	selfActive bool
}

// selectActive works out which hosts carry callers.
func (s *Server) selectActive(now time.Time) *activeHosts {
	var known []directory.Host
	alive := 0
	s.peers.Each(func(h peers.Host) {
		if h.State == host.Alive {
			known = append(known, directoryHost(h))
			alive++
		}
	})
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
	return a
}

func directoryHost(h peers.Host) directory.Host {
	return directory.Host{Address: h.Address, DataCentre: h.DataCentre, Cores: h.Cores}
}

// joinPort returns the address with the IP of one and the port of another, or "". The ports
// are the same on all hosts.
func (s *Server) joinPort(ipOf, portOf string) string {
	ip, _, err := net.SplitHostPort(ipOf)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(portOf)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(ip, port)
}

// activeShare returns the share of the cores that carry callers: all of them while the load
// is not known. Other data centres are taken to be as busy as this one.
func (s *Server) activeShare(now time.Time, known []directory.Host) float64 {
	parts, ok := s.peers.Load(now)
	if !ok {
		return 1
	}
	cores := 0.0
	for _, h := range known {
		if h.DataCentre == s.settings.DataCentre {
			cores += h.Cores
		}
	}
	return directory.ActiveShare(cores, parts)
}

// refreshActiveLoop follows which hosts carry callers, until ctx ends.
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
		if n%refreshesPerCheck != 0 {
			continue
		}
		parts := s.gateway.PartsSent()
		s.peers.SetLoad(float64(parts-before) / (refreshesPerCheck * refreshInterval).Seconds())
		before = parts
		if len(a.localPeers) > 0 {
			s.peers.Probe(a.localPeers[n/refreshesPerCheck%len(a.localPeers)])
		}
	}
}

// fleet is the other hosts as the gateway sees them.
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
	return max(f.server.active.Load().local, f.sizeUntilListed(f.Peers.LocalSize()))
}

// ConnectingHosts implements gateway.Fleet.
func (f fleet) ConnectingHosts() int {
	return max(f.server.active.Load().total, f.sizeUntilListed(f.Size()))
}

// sizeUntilListed returns a number of hosts until the fleet is known, then 1.
func (f fleet) sizeUntilListed(n int) int {
	if f.SizeKnown() {
		return 1
	}
	return n
}

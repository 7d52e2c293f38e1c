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
	// lookEach is how often a host works out which hosts carry callers.
	lookEach = 250 * time.Millisecond
	// looksPerCheck is after how many looks the load is told and a host that carries
	// callers is probed out of turn.
	looksPerCheck = 4
)

// active is which hosts carry callers, as this host sees it.
type active struct {
	// relays are where those of each data centre take parts.
	relays map[string][]string
	// near and all are over how many hosts of this data centre, and of all, the
	// connections to a target are divided.
	near, all int
	// others are the peer addresses of those of this data centre, but for this host,
	// if not all hosts carry callers.
	others []string
	// carrier says that this host carries callers.
	carrier bool
}

// look works out which hosts carry callers.
func (s *Server) look(now time.Time) *active {
	var known []directory.Host
	alive := 0
	s.peers.Each(func(h peers.Host) {
		if h.State == host.Alive {
			known = append(known, hostOf(h))
			alive++
		}
	})
	self := directory.Host{Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Cores: s.settings.Cores}
	if !s.Stopping() {
		known = append(known, self)
	}
	chosen := directory.AppendActive(nil, known, s.share(now, known))
	a := &active{relays: map[string][]string{}}
	for _, h := range chosen {
		a.all++
		if h.DataCentre == s.settings.DataCentre {
			a.near++
		}
		switch {
		case h.Address == s.settings.PeerAddress:
			a.carrier = true
		case h.DataCentre != s.settings.DataCentre:
			if relay := s.at(h.Address, s.settings.RelayAddress); relay != "" {
				a.relays[h.DataCentre] = append(a.relays[h.DataCentre], relay)
			}
		case len(chosen) < len(known):
			a.others = append(a.others, h.Address)
		}
	}
	if !a.carrier {
		a.near, a.all = max(1, alive), max(1, alive)
	}
	return a
}

func hostOf(h peers.Host) directory.Host {
	return directory.Host{Address: h.Address, DataCentre: h.DataCentre, Cores: h.Cores}
}

// at returns the address with the IP of one and the port of another, or "". The ports
// are the same on all hosts.
func (s *Server) at(ipOf, portOf string) string {
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

// share returns the share of the cores that carry callers: all of them while the load
// is not known. Other data centres are taken to be as busy as this one.
func (s *Server) share(now time.Time, known []directory.Host) float64 {
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

// keepLooking follows which hosts carry callers, until ctx ends.
func (s *Server) keepLooking(ctx context.Context) {
	t := time.NewTicker(lookEach)
	defer t.Stop()
	before := s.gateway.PartsSent()
	for n := 1; ; n++ {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		a := s.look(time.Now())
		s.active.Store(a)
		if n%looksPerCheck != 0 {
			continue
		}
		parts := s.gateway.PartsSent()
		s.peers.SetLoad(float64(parts-before) / (looksPerCheck * lookEach).Seconds())
		before = parts
		if len(a.others) > 0 {
			s.peers.Probe(a.others[n/looksPerCheck%len(a.others)])
		}
	}
}

// fleet is the other hosts as the gateway sees them.
type fleet struct {
	*peers.Peers
	station *Server
}

// AppendRelays implements gateway.Fleet.
func (f fleet) AppendRelays(dst []string, dataCentre string) []string {
	return append(dst, f.station.active.Load().relays[dataCentre]...)
}

// LocalConnectingHosts implements gateway.Fleet.
func (f fleet) LocalConnectingHosts() int {
	return max(f.station.active.Load().near, f.assumed(f.Peers.LocalSize()))
}

// ConnectingHosts implements gateway.Fleet.
func (f fleet) ConnectingHosts() int { return max(f.station.active.Load().all, f.assumed(f.Size())) }

// assumed returns a number of hosts until the fleet is known, then 1.
func (f fleet) assumed(n int) int {
	if f.SizeKnown() {
		return 1
	}
	return n
}

package server

import (
	"context"
	"math/rand/v2"
	"time"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/peers"
)

const (
	// maxAddresses is the maximum number of addresses in an answer.
	maxAddresses = 64
	// maxAddressTTL is the maximum time for which callers may cache the addresses of
	// hosts. Callers whose addresses expire while no host can be reached wait in vain for
	// several timeouts; but with a longer time, more callers use the address of a host that
	// has failed.
	maxAddressTTL = 3 * time.Second
	// recordInterval is how often the host checks whether to renew its record in the
	// store or to read the records of other hosts.
	recordInterval = 500 * time.Millisecond
	// remoteProbeInterval is the interval at which up to maxRemoteProbes hosts of other
	// data centres are probed out of turn while most searches fail.
	remoteProbeInterval = time.Second
	maxRemoteProbes     = 32
	// maxRecordsAge is how long the records of other hosts are used after they were read.
	maxRecordsAge = 2 * time.Second
)

// recordLoop renews the host's record in the store and discovers other hosts by their
// records until ctx ends.
func (s *Server) recordLoop(ctx context.Context, self peers.Self) {
	record := peers.Host{Address: self.Address, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Cores: self.Cores}
	var schedule peers.RecordSchedule
	discovered, era := false, int64(0)
	t := time.NewTicker(recordInterval)
	defer t.Stop()
	for first := true; ctx.Err() == nil; first = false {
		if !discovered && s.gateway.Listed() {
			// The full list had the records of all hosts.
			schedule.ReadSucceeded(time.Now())
			discovered = true
		}
		newest := s.feed.State(time.Now()).NewestEra
		if era != 0 && newest > era {
			schedule.RecordLost(time.Now(), s.peers.Size(), rand.Float64())
		}
		era = newest
		record.Active = schedule.Active(time.Now(), s.active.Load().selfActive)
		if schedule.RenewDue(time.Now(), record.Active) {
			if err := s.platform.RenewHostRecord(ctx, record); err != nil && ctx.Err() == nil {
				s.stats.Add("record-failures", 1)
				s.log.Debug("renew host record failed", "error", err)
				schedule.RenewFailed(time.Now())
			}
		}
		if isolated := s.updateIsolation(); !first && schedule.ReadDue(time.Now(), isolated) && s.discoverHosts(ctx, isolated || !discovered) {
			schedule.ReadSucceeded(time.Now())
			discovered = true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// discoverHosts reads the records of all hosts and reports whether it succeeded. Unless
// fresh is set, the records may be seconds old.
func (s *Server) discoverHosts(ctx context.Context, fresh bool) bool {
	hosts, err := s.platform.ListHostRecords(ctx, fresh)
	if err != nil {
		s.log.Debug("read host records failed", "error", err)
		return false
	}
	for _, h := range hosts {
		s.peers.AddHost(h)
	}
	s.peers.SetSizeKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedHosts, s.recordsReadAt = hosts, time.Now()
	return true
}

// updateIsolation reports whether the data centre of this host is isolated from the others.
// While most searches fail but other data centres are reachable, it has hosts there probed.
func (s *Server) updateIsolation() bool {
	known, alive := 0, 0
	s.peers.Each(func(h peers.Host) {
		if h.DataCentre == s.settings.DataCentre {
			return
		}
		known++
		if h.State == host.Alive {
			alive++
		}
	})
	healthy := s.gateway.Healthy()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !healthy && alive > 0 && now.Sub(s.remoteProbedAt) > remoteProbeInterval {
		s.remoteProbedAt = now
		go s.peers.ProbeOtherDataCentres(maxRemoteProbes)
	}
	before := s.isolation
	isolated := s.isolation.Update(known, alive, healthy)
	if s.isolation != before {
		s.log.Warn("data centre cut off", "data-centre", s.settings.DataCentre, "cut-off", isolated, "hosts-elsewhere", known, "heard", alive)
	}
	return isolated
}

// FrontAddresses returns the front addresses for callers in a data centre and how long
// callers may cache them. If the data centre of this host is isolated, the addresses are
// those of hosts in other data centres.
func (s *Server) FrontAddresses(dataCentre string) ([]string, time.Duration) {
	ttl := s.addressTTL()
	if s.updateIsolation() {
		if remote := s.remoteFronts(); len(remote) > 0 {
			return remote, ttl
		}
	}
	var hosts []directory.Host
	if s.Ready() {
		hosts = append(hosts, directory.Host{Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Cores: s.settings.Cores})
	}
	s.peers.Each(func(h peers.Host) {
		if h.State == host.Alive {
			hosts = append(hosts, directoryHost(h))
		}
	})
	hosts = s.activeFronts(hosts)
	coverage := map[string]float64{}
	s.gateway.EachCoverage(func(dataCentre string, share float64) { coverage[dataCentre] = share })
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.AppendAddresses(nil, dataCentre, hosts, coverage, maxAddresses, s.random), ttl
}

// addressTTL returns how long callers may cache addresses: at most half of the grace
// period, so that callers have new addresses long before a stopping host ends.
func (s *Server) addressTTL() time.Duration {
	ttl, settings := maxAddressTTL, s.reloaded.Load()
	if settings.GracePeriod > 0 {
		ttl = min(ttl, settings.GracePeriod/2)
	}
	if settings.MaxAddressTTL > 0 {
		ttl = min(ttl, settings.MaxAddressTTL)
	}
	return ttl
}

// activeFronts returns the active ones among the hosts, with their front addresses.
func (s *Server) activeFronts(hosts []directory.Host) []directory.Host {
	chosen := directory.AppendActive(nil, hosts, s.activeShare(time.Now(), hosts))
	for i := range chosen {
		chosen[i].Address = s.joinPort(chosen[i].Address, s.settings.FrontAddress)
	}
	return chosen
}

// remoteFronts returns the front addresses of hosts in other data centres that are probably
// up although they are unreachable from this host: the active ones among those with a
// record in the store, or, if the store is unreachable too, among those known to this host.
func (s *Server) remoteFronts() []string {
	var all []directory.Host
	add := func(h peers.Host) {
		if h.DataCentre != s.settings.DataCentre {
			all = append(all, directoryHost(h))
		}
	}
	if !s.feed.State(time.Now()).Reachable {
		s.peers.Each(add)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(all) == 0 && time.Since(s.recordsReadAt) <= maxRecordsAge {
		for _, h := range s.recordedHosts {
			if h.Active {
				add(h)
			}
		}
	}
	return directory.AppendAddresses(nil, s.settings.DataCentre, s.activeFronts(all), nil, maxAddresses, s.random)
}

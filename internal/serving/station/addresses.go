package station

import (
	"context"
	"time"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/peers"
)

const (
	// maxAddresses is the number of hosts that an answer names at most.
	maxAddresses = 64
	// addressTTL is how long callers may keep the addresses of hosts.
	addressTTL = time.Second
	// recordInterval is how often the host looks after its record in the store.
	recordInterval = 500 * time.Millisecond
	// remoteProbeInterval and checkMost are how often and how many hosts of other data centres
	// are probed out of turn while most searches fail.
	remoteProbeInterval = time.Second
	maxRemoteProbes     = 32
	// maxRecordsAge is for how long the records of other hosts are relied on.
	maxRecordsAge = 2 * time.Second
)

// recordLoop keeps the host's record in the store and meets the hosts that have
// one.
func (s *Station) recordLoop(ctx context.Context, self peers.Self) {
	record := peers.Host{Address: self.Address, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Cores: self.Cores}
	var duty peers.Records
	known := false
	t := time.NewTicker(recordInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		record.Carrier = duty.Carrier(time.Now(), s.active.Load().selfActive)
		if duty.Renew(time.Now(), record.Carrier) {
			if err := s.platform.Record(ctx, record); err != nil && ctx.Err() == nil {
				s.stats.Add("record-failures", 1)
				s.log.Debug("record not kept", "error", err)
				duty.Lost(time.Now())
			}
		}
		if cut := s.updateIsolation(); duty.Read(time.Now(), cut) && s.discoverHosts(ctx, cut || !known) {
			duty.Known()
			known = true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// discoverHosts reads the records of all hosts and reports whether they could be read.
func (s *Station) discoverHosts(ctx context.Context, fresh bool) bool {
	hosts, err := s.platform.Hosts(ctx, fresh)
	if err != nil {
		s.log.Debug("records of hosts not read", "error", err)
		return false
	}
	for _, h := range hosts {
		s.peers.Met(h)
	}
	s.peers.SetListed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordedHosts, s.recordedAt = hosts, time.Now()
	return true
}

// updateIsolation reports whether the data centre of this host is cut off from the others.
func (s *Station) updateIsolation() bool {
	known, heard := 0, 0
	s.peers.Each(func(h peers.Host) {
		if h.DataCentre == s.settings.DataCentre {
			return
		}
		known++
		if h.State == host.Alive {
			heard++
		}
	})
	able := s.gateway.Able()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !able && heard > 0 && now.Sub(s.remoteProbedAt) > remoteProbeInterval {
		s.remoteProbedAt = now
		go s.peers.CheckElsewhere(maxRemoteProbes)
	}
	before := s.isolation
	off := s.isolation.Update(known, heard, able)
	if s.isolation != before {
		s.log.Warn("data centre cut off", "data-centre", s.settings.DataCentre, "cut-off", off, "hosts-elsewhere", known, "heard", heard)
	}
	return off
}

// Addresses returns the front addresses for callers in a data centre and how
// long they may be kept.
func (s *Station) Addresses(dataCentre string) ([]string, time.Duration) {
	valid := addressTTL
	if s.settings.AnswerValid > 0 {
		valid = min(valid, s.settings.AnswerValid)
	}
	if s.updateIsolation() {
		if elsewhere := s.remoteFronts(); len(elsewhere) > 0 {
			return elsewhere, valid
		}
	}
	var hosts []directory.Host
	if s.Ready() {
		hosts = append(hosts, directory.Host{Address: s.settings.Peer, DataCentre: s.settings.DataCentre, Cores: s.settings.Cores})
	}
	s.peers.Each(func(h peers.Host) {
		if h.State == host.Alive {
			hosts = append(hosts, directoryHost(h))
		}
	})
	hosts = s.activeFronts(hosts)
	coverage := map[string]float64{}
	s.gateway.Coverage(func(dataCentre string, share float64) { coverage[dataCentre] = share })
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.Choose(nil, dataCentre, hosts, coverage, maxAddresses, s.random), valid
}

// activeFronts returns the hosts that are to carry callers, with the addresses for callers.
func (s *Station) activeFronts(hosts []directory.Host) []directory.Host {
	chosen := directory.Active(nil, hosts, s.activeShare(time.Now(), hosts))
	for i := range chosen {
		chosen[i].Address = s.joinPort(chosen[i].Address, s.settings.Front)
	}
	return chosen
}

// remoteFronts returns the front addresses of hosts in other data centres that are
// likely up though this host does not hear them: those with a record in the store,
// or, if the store is cut off as well, those that were heard before.
func (s *Station) remoteFronts() []string {
	var all []directory.Host
	add := func(h peers.Host) {
		if h.DataCentre != s.settings.DataCentre {
			all = append(all, directoryHost(h))
		}
	}
	if !s.feed.State(time.Now()).Reached {
		s.peers.Each(add)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(all) == 0 && time.Since(s.recordedAt) <= maxRecordsAge {
		for _, h := range s.recordedHosts {
			if h.Carrier {
				add(h)
			}
		}
	}
	return directory.Choose(nil, s.settings.DataCentre, s.activeFronts(all), nil, maxAddresses, s.random)
}

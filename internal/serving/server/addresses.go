package server

import (
	"context"
	"time"

	"fescuerill/host"
	"fescuerill/internal/fleet/directory"
	"fescuerill/internal/fleet/peers"
)

const (
	// addressesMost is the number of hosts that an answer names at most.
	addressesMost = 64
	// answerValid is how long callers may keep the addresses of hosts.
	answerValid = time.Second
	// recordEach is how often the host looks after its record in the store.
	recordEach = 500 * time.Millisecond
	// checkEach and checkMost are how often and how many hosts of other data centres
	// are probed out of turn while most searches fail.
	checkEach = time.Second
	checkMost = 32
	// recordsValid is for how long the records of other hosts are relied on.
	recordsValid = 2 * time.Second
)

// keepRecord keeps the host's record in the store and meets the hosts that have
// one.
func (s *Server) keepRecord(ctx context.Context, self peers.Self) {
	record := peers.Host{Address: self.Address, DataCentre: self.DataCentre, Incarnation: self.Incarnation, Cores: self.Cores}
	var duty peers.RecordSchedule
	known := false
	t := time.NewTicker(recordEach)
	defer t.Stop()
	for ctx.Err() == nil {
		record.Active = duty.Active(time.Now(), s.active.Load().carrier)
		if duty.RenewDue(time.Now(), record.Active) {
			if err := s.platform.RenewHostRecord(ctx, record); err != nil && ctx.Err() == nil {
				s.tally.Add("record-failures", 1)
				s.log.Debug("record not kept", "error", err)
				duty.RenewFailed(time.Now())
			}
		}
		if cut := s.cutOff(); duty.ReadDue(time.Now(), cut) && s.meet(ctx, cut || !known) {
			duty.ReadSucceeded()
			known = true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// meet reads the records of all hosts and reports whether they could be read.
func (s *Server) meet(ctx context.Context, fresh bool) bool {
	hosts, err := s.platform.ListHostRecords(ctx, fresh)
	if err != nil {
		s.log.Debug("records of hosts not read", "error", err)
		return false
	}
	for _, h := range hosts {
		s.peers.AddHost(h)
	}
	s.peers.SetSizeKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded, s.recordedAt = hosts, time.Now()
	return true
}

// cutOff reports whether the data centre of this host is cut off from the others.
func (s *Server) cutOff() bool {
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
	able := s.gateway.Healthy()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !able && heard > 0 && now.Sub(s.checked) > checkEach {
		s.checked = now
		go s.peers.ProbeOtherDataCentres(checkMost)
	}
	before := s.cut
	off := s.cut.Update(known, heard, able)
	if s.cut != before {
		s.log.Warn("data centre cut off", "data-centre", s.settings.DataCentre, "cut-off", off, "hosts-elsewhere", known, "heard", heard)
	}
	return off
}

// FrontAddresses returns the front addresses for callers in a data centre and how
// long they may be kept.
func (s *Server) FrontAddresses(dataCentre string) ([]string, time.Duration) {
	valid := answerValid
	if s.settings.MaxAddressTTL > 0 {
		valid = min(valid, s.settings.MaxAddressTTL)
	}
	if s.cutOff() {
		if elsewhere := s.elsewhere(); len(elsewhere) > 0 {
			return elsewhere, valid
		}
	}
	var hosts []directory.Host
	if s.Ready() {
		hosts = append(hosts, directory.Host{Address: s.settings.PeerAddress, DataCentre: s.settings.DataCentre, Cores: s.settings.Cores})
	}
	s.peers.Each(func(h peers.Host) {
		if h.State == host.Alive {
			hosts = append(hosts, hostOf(h))
		}
	})
	hosts = s.fronts(hosts)
	coverage := map[string]float64{}
	s.gateway.EachCoverage(func(dataCentre string, share float64) { coverage[dataCentre] = share })
	s.mu.Lock()
	defer s.mu.Unlock()
	return directory.AppendAddresses(nil, dataCentre, hosts, coverage, addressesMost, s.random), valid
}

// fronts returns the hosts that are to carry callers, with the addresses for callers.
func (s *Server) fronts(hosts []directory.Host) []directory.Host {
	chosen := directory.AppendActive(nil, hosts, s.share(time.Now(), hosts))
	for i := range chosen {
		chosen[i].Address = s.at(chosen[i].Address, s.settings.FrontAddress)
	}
	return chosen
}

// elsewhere returns the front addresses of hosts in other data centres that are
// likely up though this host does not hear them: those with a record in the store,
// or, if the store is cut off as well, those that were heard before.
func (s *Server) elsewhere() []string {
	var all []directory.Host
	add := func(h peers.Host) {
		if h.DataCentre != s.settings.DataCentre {
			all = append(all, hostOf(h))
		}
	}
	if !s.feed.State(time.Now()).Reachable {
		s.peers.Each(add)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(all) == 0 && time.Since(s.recordedAt) <= recordsValid {
		for _, h := range s.recorded {
			if h.Active {
				add(h)
			}
		}
	}
	return directory.AppendAddresses(nil, s.settings.DataCentre, s.fronts(all), nil, addressesMost, s.random)
}

package daemon

import (
	"fescuerill/internal/schema/platform"
	"fescuerill/owner"
	"fescuerill/settings"
)

// States of a host in its record.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// division is who owns what under one record of members. It is not changed
// once made.
type division struct {
	members platform.Members
	owners  map[string]string
	hosts   map[string]platform.Member
	epoch   owner.Epoch
}

// divide computes the division of a record. Views are the settings known,
// newest first; targets are divided as they were when the record was written,
// and nothing is owned when those are not known.
func divide(m platform.Members, old *division, views []*settings.View) *division {
	d := &division{members: m, owners: map[string]string{}, hosts: map[string]platform.Member{}}
	for _, h := range m.Hosts {
		d.hosts[h.ID] = h
	}
	if v := viewOf(m.Fingerprint, views); v != nil {
		owner.Assign(d.owners, owners(m.Hosts), targets(v))
	}
	d.epoch = owner.Epoch{
		Number: m.Epoch, Owners: d.owners, Lapsed: m.Lapsed, Suspects: m.Doubted,
		Settled: m.Settled != nil && *m.Settled, Clean: m.Clean != nil && *m.Clean,
	}
	for _, h := range m.Hosts {
		d.epoch.Suspects = append(d.epoch.Suspects, h.ID)
	}
	d.epoch.Before = before(m, old, views)
	return d
}

// before returns the owners under the epoch before that of m, or nil.
func before(m platform.Members, old *division, views []*settings.View) map[string]string {
	if old != nil && old.members.Epoch == m.Epoch-1 {
		return old.owners
	}
	v := viewOf(m.Fingerprint, views)
	if v == nil || m.Epoch == 1 {
		return nil
	}
	joined := map[string]bool{}
	for _, id := range m.Joined {
		joined[id] = true
	}
	var hosts []platform.Member
	for _, h := range m.Hosts {
		if !joined[h.ID] {
			hosts = append(hosts, h)
		}
	}
	return owner.Assign(nil, owners(append(hosts, m.Left...)), targets(v))
}

func viewOf(fingerprint string, views []*settings.View) *settings.View {
	for _, v := range views {
		if v.Fingerprint() == fingerprint {
			return v
		}
	}
	return nil
}

func owners(members []platform.Member) []owner.Host {
	out := make([]owner.Host, len(members))
	for i, m := range members {
		out[i] = owner.Host{ID: m.ID, DataCentre: m.DataCentre}
	}
	return out
}

func targets(v *settings.View) []owner.Target {
	out := make([]owner.Target, 0, v.Targets())
	for _, s := range v.Services() {
		for _, b := range s.Targets() {
			out = append(out, owner.Target{Path: b.Path(), Service: s.Path(), DataCentre: b.DataCentre()})
		}
	}
	return out
}

package daemon

import (
	"slices"

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
	record record
	owners map[string]string
	hosts  map[string]platform.Member
	epoch  owner.Assignment
}

// divide computes the division of a record. Views are the settings known,
// newest first; targets are divided as they were when the record was written,
// and nothing is owned when those are not known.
func divide(r record, old *division, views []*settings.Resolved) *division {
	d := &division{record: r, owners: map[string]string{}, hosts: map[string]platform.Member{}}
	for _, h := range r.hosts {
		d.hosts[h.ID] = h
	}
	if v := viewOf(r.Fingerprint, views); v != nil {
		owner.Assign(d.owners, owners(r.hosts), targets(v))
	}
	d.epoch = owner.Assignment{
		Epoch: r.Epoch, Owners: d.owners, ExpiredHosts: r.Lapsed, PossiblePriorOwners: slices.Clone(r.Doubted),
		PreviousPropagated: r.Settled != nil && *r.Settled, NoPreviousLeases: r.Clean != nil && *r.Clean,
	}
	d.epoch.PossiblePriorOwners = append(d.epoch.PossiblePriorOwners, r.old()...)
	d.epoch.PreviousOwners = before(r, old, views)
	return d
}

// before returns the owners under the epoch before that of r, or nil.
func before(r record, old *division, views []*settings.Resolved) map[string]string {
	if old != nil && old.record.Epoch == r.Epoch-1 && len(old.owners) > 0 {
		return old.owners
	}
	v := viewOf(r.Fingerprint, views)
	if v == nil || r.before == nil {
		return nil
	}
	return owner.Assign(nil, owners(r.before), targets(v))
}

func viewOf(fingerprint string, views []*settings.Resolved) *settings.Resolved {
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

func targets(v *settings.Resolved) []owner.Target {
	out := make([]owner.Target, 0, v.TargetCount())
	for _, s := range v.Services() {
		for _, b := range s.Targets() {
			out = append(out, owner.Target{Path: b.Path(), Service: s.Path(), DataCentre: b.DataCentre()})
		}
	}
	return out
}

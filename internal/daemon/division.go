package daemon

import (
	"slices"

	"fescuerill/internal/schema/platform"
	"fescuerill/owner"
	"fescuerill/settings"
)

// States of a host in its host record.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// assignment states which host owns which target under one member list. It is
// immutable.
type assignment struct {
	members    memberList
	owners     map[string]string
	hosts      map[string]platform.Member
	forTracker owner.Assignment
}

// newAssignment computes the assignment of a member list. Views are the known
// settings, newest first. The targets are those of the settings for which the
// list was written; if these are not known, nothing is assigned.
func newAssignment(r memberList, old *assignment, views []*settings.View) *assignment {
	d := &assignment{members: r, owners: map[string]string{}, hosts: map[string]platform.Member{}}
	for _, h := range r.hosts {
		d.hosts[h.ID] = h
	}
	if v := viewByFingerprint(r.Fingerprint, views); v != nil {
		owner.Assign(d.owners, ownerHosts(r.hosts), ownerTargets(v))
	}
	d.forTracker = owner.Assignment{
		Epoch: r.Epoch, Owners: d.owners, ExpiredHosts: r.Lapsed, PossiblePriorOwners: slices.Clone(r.Doubted),
		PreviousPropagated: r.Settled != nil && *r.Settled, NoPreviousLeases: r.Clean != nil && *r.Clean,
	}
	d.forTracker.PossiblePriorOwners = append(d.forTracker.PossiblePriorOwners, r.possiblePriorOwners()...)
	d.forTracker.PreviousOwners = previousOwners(r, old, views)
	return d
}

// previousOwners returns the owners under the epoch before that of r, or nil if
// they are not known.
func previousOwners(r memberList, old *assignment, views []*settings.View) map[string]string {
	if old != nil && old.members.Epoch == r.Epoch-1 && len(old.owners) > 0 {
		return old.owners
	}
	v := viewByFingerprint(r.Fingerprint, views)
	if v == nil || r.previousHosts == nil {
		return nil
	}
	return owner.Assign(nil, ownerHosts(r.previousHosts), ownerTargets(v))
}

func viewByFingerprint(fingerprint string, views []*settings.View) *settings.View {
	for _, v := range views {
		if v.Fingerprint() == fingerprint {
			return v
		}
	}
	return nil
}

func ownerHosts(members []platform.Member) []owner.Host {
	out := make([]owner.Host, len(members))
	for i, m := range members {
		out[i] = owner.Host{ID: m.ID, DataCentre: m.DataCentre}
	}
	return out
}

func ownerTargets(v *settings.View) []owner.Target {
	out := make([]owner.Target, 0, v.Targets())
	for _, s := range v.Services() {
		for _, b := range s.Targets() {
			out = append(out, owner.Target{Path: b.Path(), Service: s.Path(), DataCentre: b.DataCentre()})
		}
	}
	return out
}

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
	members memberList
	owners  map[string]string
	hosts   map[string]platform.Member
	// forTracker is the same assignment in the form that owner.Tracker uses.
	forTracker owner.Assignment
}

// newAssignment computes the assignment of a member list. versions are the
// settings kept, newest first. The targets are those of the settings for which
// the list was written; if these are not known, nothing is assigned.
func newAssignment(members memberList, previous *assignment, versions []*settings.Resolved) *assignment {
	a := &assignment{members: members, owners: map[string]string{}, hosts: map[string]platform.Member{}}
	for _, h := range members.hosts {
		a.hosts[h.ID] = h
	}
	if v := settingsByFingerprint(members.Fingerprint, versions); v != nil {
		owner.Assign(a.owners, ownerHosts(members.hosts), ownerTargets(v))
	}
	a.forTracker = owner.Assignment{
		Epoch: members.Epoch, Owners: a.owners, ExpiredHosts: members.Lapsed, PossiblePriorOwners: slices.Clone(members.Doubted),
		PreviousPropagated: members.Settled != nil && *members.Settled, NoPreviousLeases: members.Clean != nil && *members.Clean,
	}
	a.forTracker.PossiblePriorOwners = append(a.forTracker.PossiblePriorOwners, members.possiblePriorOwners()...)
	a.forTracker.PreviousOwners = previousOwners(members, previous, versions)
	return a
}

// previousOwners returns the owners under the epoch before that of the member
// list, or nil if they are not known.
func previousOwners(members memberList, previous *assignment, versions []*settings.Resolved) map[string]string {
	if previous != nil && previous.members.Epoch == members.Epoch-1 && len(previous.owners) > 0 {
		return previous.owners
	}
	resolved := settingsByFingerprint(members.Fingerprint, versions)
	if resolved == nil || members.previousHosts == nil {
		return nil
	}
	return owner.Assign(nil, ownerHosts(members.previousHosts), ownerTargets(resolved))
}

func settingsByFingerprint(fingerprint string, versions []*settings.Resolved) *settings.Resolved {
	for _, v := range versions {
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

func ownerTargets(resolved *settings.Resolved) []owner.Target {
	out := make([]owner.Target, 0, resolved.TargetCount())
	for _, s := range resolved.Services() {
		for _, t := range s.Targets() {
			out = append(out, owner.Target{Path: t.Path(), Service: s.Path(), DataCentre: t.DataCentre()})
		}
	}
	return out
}

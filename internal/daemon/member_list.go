package daemon

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
)

// errRosterMismatch is returned if the roster of a member list is not known or
// does not match its checksum.
var errRosterMismatch = errors.New("daemon: roster does not match the member list")

// memberList is a versioned list of the hosts among which targets are assigned.
// It is immutable.
type memberList struct {
	platform.MembershipChange
	hosts []platform.Member
	// previousHosts is the hosts of the epoch before, nil if they are not
	// known.
	previousHosts []platform.Member
}

// member returns the member with the ID.
func (l memberList) member(id string) (platform.Member, bool) {
	if i := indexOfHost(l.hosts, id); i >= 0 {
		return l.hosts[i], true
	}
	return platform.Member{}, false
}

// possiblePriorOwners returns the hosts whose incarnation may have owned
// targets before this epoch: all but those that join with it for the first
// time.
func (l memberList) possiblePriorOwners() []string {
	var out []string
	for _, h := range l.hosts {
		if indexOfHost(l.Joined, h.ID) < 0 || h.New == nil || !*h.New {
			out = append(out, h.ID)
		}
	}
	return out
}

func indexOfHost(hosts []platform.Member, id string) int {
	return slices.IndexFunc(hosts, func(m platform.Member) bool { return m.ID == id })
}

// encodeRoster returns a roster in the form in which it is stored, and its
// hash.
func encodeRoster(hosts []platform.Member) (text, sum string, err error) {
	b, err := json.Marshal(platform.Roster{Hosts: hosts})
	return string(b), settings.ContentHash(string(b)), errors.Wrap(err, "daemon: encode roster")
}

// apply returns the member list that results from applying m, which states the
// changes from the epoch before.
func (l memberList) apply(m platform.MembershipChange) (memberList, error) {
	if m.Epoch != l.Epoch+1 {
		return memberList{}, errRosterMismatch
	}
	hosts := slices.DeleteFunc(slices.Clone(l.hosts), func(h platform.Member) bool {
		return slices.Contains(m.Left, h.ID) || indexOfHost(m.Joined, h.ID) >= 0
	})
	hosts = append(hosts, m.Joined...)
	sortMembers(hosts)
	_, sum, err := encodeRoster(hosts)
	if err != nil {
		return memberList{}, err
	}
	if sum != m.Sum {
		return memberList{}, errRosterMismatch
	}
	return memberList{m, hosts, l.hosts}, nil
}

// decodeMemberList returns the member list of m with the hosts of the stored
// roster.
func decodeMemberList(m platform.MembershipChange, text string) (memberList, error) {
	if settings.ContentHash(text) != m.Sum {
		return memberList{}, errRosterMismatch
	}
	var roster platform.Roster
	err := json.Unmarshal([]byte(text), &roster)
	return memberList{m, roster.Hosts, nil}, errors.Wrap(err, "daemon: decode roster")
}

func sortMembers(hosts []platform.Member) {
	slices.SortFunc(hosts, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
}

// next returns the member list that follows l: the listed hosts, which hold
// leases, without those that are leaving and those in an evacuated data centre.
// Propagated states that l has been in force for a lease time, so that every
// host with a valid lease has received it. The method also reports whether the
// new list has to be written: it is not empty, and hosts have joined or left or
// the fingerprint of the settings differs.
func (l memberList) next(listed []platform.Member, fingerprint string, evacuated func(dataCentre string) bool, propagated bool) (memberList, bool) {
	m := platform.MembershipChange{Epoch: l.Epoch + 1, Fingerprint: fingerprint, Joined: []platform.Member{}, Left: []string{}}
	var hosts []platform.Member
	noPreviousLeases := true
	for _, h := range listed {
		old, known := l.member(h.ID)
		if h.State == stateLeaving || known && old.Lease == h.Lease {
			noPreviousLeases = false
		}
		if h.State != stateLive || evacuated(h.DataCentre) {
			continue
		}
		// The acknowledged epoch changes too often to be part of a roster.
		h.Epoch = 0
		hosts = append(hosts, h)
		if !known || old.Lease != h.Lease {
			m.Joined = append(m.Joined, h)
		}
	}
	sortMembers(hosts)
	for _, old := range l.hosts {
		if indexOfHost(hosts, old.ID) < 0 {
			m.Left = append(m.Left, old.ID)
		}
		if i := indexOfHost(listed, old.ID); i < 0 || listed[i].Lease != old.Lease {
			m.Lapsed = append(m.Lapsed, old.ID)
		}
	}
	m.Settled, m.Clean = &propagated, &noPreviousLeases
	changed := len(m.Joined)+len(m.Left) > 0 || fingerprint != l.Fingerprint
	return memberList{m, hosts, l.hosts}, changed && len(hosts) > 0
}

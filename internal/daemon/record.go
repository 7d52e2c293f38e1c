package daemon

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
)

// errRoster is returned for a record whose roster is not known.
var errRoster = errors.New("daemon: roster does not match the record of members")

// record is a record of members with all its hosts. It is not changed once
// made.
type record struct {
	platform.MembershipChange
	hosts []platform.Member
	// before is the hosts of the epoch before, nil when they are not known.
	before []platform.Member
}

// host returns the member with the name.
func (r record) host(id string) (platform.Member, bool) {
	if i := find(r.hosts, id); i >= 0 {
		return r.hosts[i], true
	}
	return platform.Member{}, false
}

// old returns the hosts whose run may have owned targets before this epoch: all
// but those that join with it for the first time.
func (r record) old() []string {
	var out []string
	for _, h := range r.hosts {
		if find(r.Joined, h.ID) < 0 || h.New == nil || !*h.New {
			out = append(out, h.ID)
		}
	}
	return out
}

func find(hosts []platform.Member, id string) int {
	return slices.IndexFunc(hosts, func(m platform.Member) bool { return m.ID == id })
}

// rosterText returns a roster as it stands in the store, and its hash.
func rosterText(hosts []platform.Member) (text, sum string, err error) {
	b, err := json.Marshal(platform.Roster{Hosts: hosts})
	return string(b), settings.ContentHash(string(b)), errors.Wrap(err, "daemon: roster")
}

// follow returns the record of m, which follows r.
func (r record) follow(m platform.MembershipChange) (record, error) {
	if m.Epoch != r.Epoch+1 {
		return record{}, errRoster
	}
	hosts := slices.DeleteFunc(slices.Clone(r.hosts), func(h platform.Member) bool {
		return slices.Contains(m.Left, h.ID) || find(m.Joined, h.ID) >= 0
	})
	hosts = append(hosts, m.Joined...)
	sortMembers(hosts)
	_, sum, err := rosterText(hosts)
	if err != nil {
		return record{}, err
	}
	if sum != m.Sum {
		return record{}, errRoster
	}
	return record{m, hosts, r.hosts}, nil
}

// whole returns the record of m with the roster.
func whole(m platform.MembershipChange, text string) (record, error) {
	if settings.ContentHash(text) != m.Sum {
		return record{}, errRoster
	}
	var roster platform.Roster
	err := json.Unmarshal([]byte(text), &roster)
	return record{m, roster.Hosts, nil}, errors.Wrap(err, "daemon: roster")
}

func sortMembers(hosts []platform.Member) {
	slices.SortFunc(hosts, func(a, b platform.Member) int { return strings.Compare(a.ID, b.ID) })
}

// next returns the record that follows r when the listed hosts have leases and
// those for which out is set take no work, and whether it differs.
func (r record) next(listed []platform.Member, fingerprint string, out func(dataCentre string) bool, settled bool) (record, bool) {
	m := platform.MembershipChange{Epoch: r.Epoch + 1, Fingerprint: fingerprint, Joined: []platform.Member{}, Left: []string{}}
	var hosts []platform.Member
	clean := true
	for _, h := range listed {
		old, known := r.host(h.ID)
		if h.State == stateLeaving || known && old.Lease == h.Lease {
			clean = false
		}
		if h.State != stateLive || out(h.DataCentre) {
			continue
		}
		// What a host has acknowledged changes too often to stand in a roster.
		h.Epoch = 0
		hosts = append(hosts, h)
		if !known || old.Lease != h.Lease {
			m.Joined = append(m.Joined, h)
		}
	}
	sortMembers(hosts)
	for _, old := range r.hosts {
		if find(hosts, old.ID) < 0 {
			m.Left = append(m.Left, old.ID)
		}
		if i := find(listed, old.ID); i < 0 || listed[i].Lease != old.Lease {
			m.Lapsed = append(m.Lapsed, old.ID)
		}
	}
	m.Settled, m.Clean = &settled, &clean
	changed := len(m.Joined)+len(m.Left) > 0 || fingerprint != r.Fingerprint
	return record{m, hosts, r.hosts}, changed && len(hosts) > 0
}

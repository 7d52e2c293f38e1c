package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fescuerill/lease"
	"fescuerill/owner"
	"fescuerill/target"
)

const leaseTime = 6 * time.Second

var startTime = time.Unix(1_700_000_000, 0)

func hostList(hosts int) []owner.Host {
	out := make([]owner.Host, hosts)
	for i := range out {
		out[i] = owner.Host{ID: fmt.Sprintf("h%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return out
}

func targetList(services, replicas int) []owner.Target {
	var out []owner.Target
	for i := range services {
		for j := range replicas {
			s := fmt.Sprintf("g/s%04d", i)
			out = append(out, owner.Target{Path: fmt.Sprintf("%s/%c", s, 'a'+j), Service: s, DataCentre: fmt.Sprintf("dc%d", (i+j)%3)})
		}
	}
	return out
}

func TestAssignSeparatesReplicasAndBoundsLoad(t *testing.T) {
	tests := []struct{ hosts, services, replicas int }{{2, 10, 2}, {6, 53, 2}, {9, 53, 2}, {50, 200, 2}, {6, 10, 6}}
	for _, tt := range tests {
		targets := targetList(tt.services, tt.replicas)
		got := owner.Assign(nil, hostList(tt.hosts), targets)
		assert.Len(t, got, len(targets))
		load, services := map[string]int{}, map[string]map[string]bool{}
		for _, assigned := range targets {
			h := got[assigned.Path]
			load[h]++
			if services[assigned.Service] == nil {
				services[assigned.Service] = map[string]bool{}
			}
			assert.False(t, services[assigned.Service][h], "replicas of %s at %s", assigned.Service, h)
			services[assigned.Service][h] = true
		}
		for h, n := range load {
			assert.LessOrEqual(t, n, int(1.25*float64(len(targets))/float64(tt.hosts))+1, h)
		}
	}
}

func TestAssignMovesFewTargets(t *testing.T) {
	hosts, targets := hostList(20), targetList(100, 2)
	before := owner.Assign(nil, hosts, targets)
	after := owner.Assign(nil, hosts[1:], targets)
	moved := 0
	for path, h := range before {
		if h != after[path] {
			moved++
		}
	}
	// The even share of the host that left is 10.
	assert.LessOrEqual(t, moved, 40)
}

func TestAssignDoesNotDependOnOrder(t *testing.T) {
	hosts, targets := hostList(7), targetList(20, 2)
	want := owner.Assign(nil, hosts, targets)
	for i, j := 0, len(targets)-1; i < j; i, j = i+1, j-1 {
		targets[i], targets[j] = targets[j], targets[i]
	}
	hosts[0], hosts[3] = hosts[3], hosts[0]
	assert.Equal(t, want, owner.Assign(nil, hosts, targets))
	assert.Empty(t, owner.Assign(nil, nil, targets))
}

func TestNewOwnerWaitsForReleaseOrLeaseExpiry(t *testing.T) {
	var tracker owner.Tracker
	assignment := owner.Assignment{Epoch: 5, Owners: map[string]string{"t": "b"}, PreviousOwners: map[string]string{"t": "a"}, PossiblePriorOwners: []string{"a", "b"}}
	tracker.Reset("b", leaseTime)
	tracker.Apply(startTime, assignment, true)
	viewAt := func(d time.Duration, acked int) owner.StoreView {
		return owner.StoreView{ReadAt: startTime.Add(d), Epoch: 5, AckedEpochs: map[string]int{"a": acked, "b": 5}}
	}
	tracker.ApplyStoreView(viewAt(leaseTime-1, 5), true)
	assert.Equal(t, target.ShareNone, tracker.Share("t", true), "the old lease may not have expired")
	tracker.ApplyStoreView(owner.StoreView{ReadAt: startTime.Add(leaseTime), Epoch: 6}, true)
	assert.Equal(t, target.ShareNone, tracker.Share("t", true), "a later epoch is in force")
	tracker.ApplyStoreView(viewAt(leaseTime, 4), true)
	assert.Equal(t, target.ShareRemainder, tracker.Share("t", true), "the previous owner may still use its half")
	assert.Equal(t, target.ShareNone, tracker.Share("t", false))
	tracker.ApplyStoreView(viewAt(leaseTime, 5), true)
	assert.Equal(t, target.ShareFull, tracker.Share("t", true))
	assert.Equal(t, target.ShareHalf, tracker.Share("t", false))

	tracker.Reset("b", leaseTime)
	tracker.Apply(startTime, assignment, true)
	require.False(t, tracker.HandleRelease(4, "t"), "a release of another epoch is ignored")
	require.True(t, tracker.HandleRelease(5, "t"))
	assert.Equal(t, target.ShareFull, tracker.Share("t", true))
}

// simulation is a set of hosts, one target and a store that grants leases by its own
// clock.
type simulation struct {
	now         time.Time
	hostIDs     []string
	hosts       map[string]*owner.Tracker
	leases      map[string]*lease.Lease
	expiresAt   map[string]time.Time
	acked       map[string]int
	assignments []owner.Assignment
	writtenAt   time.Time
}

func newSimulation(ids ...string) *simulation {
	s := &simulation{
		now: startTime, hostIDs: ids, hosts: map[string]*owner.Tracker{}, leases: map[string]*lease.Lease{},
		expiresAt: map[string]time.Time{}, acked: map[string]int{}, writtenAt: startTime.Add(-2 * leaseTime),
		assignments: []owner.Assignment{{Owners: map[string]string{}}},
	}
	for _, id := range ids {
		s.hosts[id], s.leases[id] = &owner.Tracker{}, &lease.Lease{}
		s.hosts[id].Reset(id, leaseTime)
		s.leases[id].Granted(id, s.now, leaseTime)
		s.expiresAt[id] = s.now.Add(leaseTime)
	}
	return s
}

func (s *simulation) leaseValid(id string) bool { return s.leases[id].Valid(s.now) }

func (s *simulation) latest() owner.Assignment { return s.assignments[len(s.assignments)-1] }

// applyLatest makes a host apply the latest assignment. Its releases are delivered
// immediately or lost.
func (s *simulation) applyLatest(id string, delivered bool) {
	assignment := s.latest()
	for _, h := range s.hosts[id].Apply(s.now, assignment, s.leaseValid(id)) {
		if h.SoleOwner && h.NewOwner != "" && delivered {
			s.hosts[h.NewOwner].HandleRelease(assignment.Epoch, h.Target)
		}
	}
}

// reassign writes an assignment of the target to a host.
func (s *simulation) reassign(to string) {
	previous := s.latest()
	assignment := owner.Assignment{
		Epoch: previous.Epoch + 1, Owners: map[string]string{"t": to}, PreviousOwners: previous.Owners,
		PreviousPropagated: s.now.Sub(s.writtenAt) >= leaseTime, PossiblePriorOwners: s.hostIDs,
	}
	for _, id := range s.hostIDs {
		if s.now.After(s.expiresAt[id]) {
			assignment.ExpiredHosts = append(assignment.ExpiredHosts, id)
		}
	}
	s.assignments, s.writtenAt = append(s.assignments, assignment), s.now
}

// readStore makes a host read the store and apply what it finds.
func (s *simulation) readStore(id string) {
	view := owner.StoreView{ReadAt: s.now, Epoch: s.latest().Epoch, AckedEpochs: map[string]int{}}
	for _, h := range s.hostIDs {
		if !s.now.After(s.expiresAt[h]) {
			view.AckedEpochs[h] = s.acked[h]
		}
	}
	s.hosts[id].ApplyStoreView(view, s.leaseValid(id))
}

// halvesInUse returns how many halves of the target all hosts are allowed to use.
func (s *simulation) halvesInUse() int {
	sum := 0
	for _, id := range s.hostIDs {
		switch s.hosts[id].Share("t", s.leaseValid(id)) {
		case target.ShareFull:
			sum += 2
		case target.ShareRemainder, target.ShareHalf:
			sum++
		}
	}
	return sum
}

// renew makes a host renew its lease. If the reply arrives, the host also applies the
// latest assignment; delivered says whether its releases arrive.
func (s *simulation) renew(id string, arrives, delivered bool) {
	if s.now.After(s.expiresAt[id]) {
		return
	}
	s.expiresAt[id] = s.now.Add(leaseTime)
	if arrives {
		s.applyLatest(id, delivered)
		s.leases[id].Renewed(s.now)
	}
}

// ack makes a host acknowledge in the store the epoch that it has applied.
func (s *simulation) ack(id string) {
	if !s.now.After(s.expiresAt[id]) {
		s.acked[id] = s.hosts[id].Epoch()
	}
}

// TestOwnersNeverExceedTargetCapacity guards against two hosts that use the same slots of
// a target. Hosts receive assignments late or never, pause, lose their leases and release
// targets, and the sum of all shares is checked after each step.
func TestOwnersNeverExceedTargetCapacity(t *testing.T) {
	full, half := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation("a", "b", "c")
		s.reassign("a")
		s.applyLatest("a", true)
		s.hosts["a"].HandleRelease(1, "t")
		paused := map[string]bool{}
		chance := func(t *rapid.T, percent int) bool { return rapid.IntRange(0, 99).Draw(t, "chance") < percent }
		host := func(t *rapid.T) string { return rapid.SampledFrom(s.hostIDs).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				n := s.halvesInUse()
				if n > 2 {
					t.Fatalf("hosts use %d halves of a target", n)
				}
				full += n / 2
				half += n % 2
			},
			"move":  func(t *rapid.T) { s.reassign(host(t)) },
			"learn": func(t *rapid.T) { s.applyLatest(host(t), rapid.Bool().Draw(t, "delivered")) },
			"cut":   func(t *rapid.T) { id := host(t); paused[id] = !paused[id] },
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "times") {
					s.now = s.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
					for _, id := range s.hostIDs {
						if paused[id] {
							continue
						}
						if chance(t, 60) {
							s.renew(id, chance(t, 85), chance(t, 50))
						}
						if chance(t, 30) {
							s.ack(id)
						}
						if chance(t, 50) {
							s.readStore(id)
						}
					}
				}
			},
		})
	})
	assert.Positive(t, full, "some host must get the full share")
	assert.Positive(t, half, "some host must leave half of the share to another")
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ hosts, targets int }{{9, 106}, {200, 1000}, {830, 3900}} {
		hosts, targets := hostList(size.hosts), targetList(size.targets/2, 2)
		b.Run(fmt.Sprintf("%d-hosts-%d-targets", size.hosts, size.targets), func(b *testing.B) {
			dst := map[string]string{}
			b.ReportAllocs()
			for b.Loop() {
				owner.Assign(dst, hosts, targets)
			}
		})
	}
}

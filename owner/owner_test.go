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

var epoch = time.Unix(1_700_000_000, 0)

func fleet(hosts int) []owner.Host {
	out := make([]owner.Host, hosts)
	for i := range out {
		out[i] = owner.Host{ID: fmt.Sprintf("h%03d", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return out
}

func backs(services, replicas int) []owner.Target {
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
		targets := backs(tt.services, tt.replicas)
		got := owner.Assign(nil, fleet(tt.hosts), targets)
		assert.Len(t, got, len(targets))
		load, services := map[string]int{}, map[string]map[string]bool{}
		for _, b := range targets {
			h := got[b.Path]
			load[h]++
			if services[b.Service] == nil {
				services[b.Service] = map[string]bool{}
			}
			assert.False(t, services[b.Service][h], "replicas of %s at %s", b.Service, h)
			services[b.Service][h] = true
		}
		for h, n := range load {
			assert.LessOrEqual(t, n, int(1.25*float64(len(targets))/float64(tt.hosts))+1, h)
		}
	}
}

func TestAssignMovesFewTargets(t *testing.T) {
	hosts, targets := fleet(20), backs(100, 2)
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
	hosts, targets := fleet(7), backs(20, 2)
	want := owner.Assign(nil, hosts, targets)
	for i, j := 0, len(targets)-1; i < j; i, j = i+1, j-1 {
		targets[i], targets[j] = targets[j], targets[i]
	}
	hosts[0], hosts[3] = hosts[3], hosts[0]
	assert.Equal(t, want, owner.Assign(nil, hosts, targets))
	assert.Empty(t, owner.Assign(nil, nil, targets))
}

func TestNewOwnerWaitsForReleaseOrLapse(t *testing.T) {
	var l owner.Tracker
	e := owner.Assignment{Epoch: 5, Owners: map[string]string{"t": "b"}, PreviousOwners: map[string]string{"t": "a"}, PossiblePriorOwners: []string{"a", "b"}}
	l.Reset("b", leaseTime)
	l.Apply(epoch, e, true)
	at := func(d time.Duration, acked int) owner.StoreView {
		return owner.StoreView{ReadAt: epoch.Add(d), Epoch: 5, AckedEpochs: map[string]int{"a": acked, "b": 5}}
	}
	l.ApplyStoreView(at(leaseTime-1, 5), true)
	assert.Equal(t, target.ShareNone, l.Share("t", true), "the old lease may not have lapsed")
	l.ApplyStoreView(owner.StoreView{ReadAt: epoch.Add(leaseTime), Epoch: 6}, true)
	assert.Equal(t, target.ShareNone, l.Share("t", true), "a later epoch is in force")
	l.ApplyStoreView(at(leaseTime, 4), true)
	assert.Equal(t, target.ShareRemainder, l.Share("t", true), "the old owner may still use its half")
	assert.Equal(t, target.ShareNone, l.Share("t", false))
	l.ApplyStoreView(at(leaseTime, 5), true)
	assert.Equal(t, target.ShareFull, l.Share("t", true))
	assert.Equal(t, target.ShareHalf, l.Share("t", false))

	l.Reset("b", leaseTime)
	l.Apply(epoch, e, true)
	require.False(t, l.HandleRelease(4, "t"), "a release of another epoch proves nothing")
	require.True(t, l.HandleRelease(5, "t"))
	assert.Equal(t, target.ShareFull, l.Share("t", true))
}

// world is some hosts, one target and a store that grants leases by its own
// clock.
type world struct {
	now     time.Time
	ids     []string
	hosts   map[string]*owner.Tracker
	leases  map[string]*lease.Lease
	expires map[string]time.Time
	acked   map[string]int
	epochs  []owner.Assignment
	written time.Time
}

func newWorld(ids ...string) *world {
	w := &world{
		now: epoch, ids: ids, hosts: map[string]*owner.Tracker{}, leases: map[string]*lease.Lease{},
		expires: map[string]time.Time{}, acked: map[string]int{}, written: epoch.Add(-2 * leaseTime),
		epochs: []owner.Assignment{{Owners: map[string]string{}}},
	}
	for _, id := range ids {
		w.hosts[id], w.leases[id] = &owner.Tracker{}, &lease.Lease{}
		w.hosts[id].Reset(id, leaseTime)
		w.leases[id].Granted(id, w.now, leaseTime)
		w.expires[id] = w.now.Add(leaseTime)
	}
	return w
}

func (w *world) proven(id string) bool { return w.leases[id].Valid(w.now) }

func (w *world) latest() owner.Assignment { return w.epochs[len(w.epochs)-1] }

// learn makes a host adopt the epoch in force; what it hands over arrives at
// once or never.
func (w *world) learn(id string, delivered bool) {
	e := w.latest()
	for _, h := range w.hosts[id].Apply(w.now, e, w.proven(id)) {
		if h.SoleOwner && h.NewOwner != "" && delivered {
			w.hosts[h.NewOwner].HandleRelease(e.Epoch, h.Target)
		}
	}
}

// move writes an epoch that gives the target to another host.
func (w *world) move(to string) {
	old := w.latest()
	e := owner.Assignment{
		Epoch: old.Epoch + 1, Owners: map[string]string{"t": to}, PreviousOwners: old.Owners,
		PreviousPropagated: w.now.Sub(w.written) >= leaseTime, PossiblePriorOwners: w.ids,
	}
	for _, id := range w.ids {
		if w.now.After(w.expires[id]) {
			e.ExpiredHosts = append(e.ExpiredHosts, id)
		}
	}
	w.epochs, w.written = append(w.epochs, e), w.now
}

// survey lets a host look at the store, and learn what it sees.
func (w *world) survey(id string) {
	s := owner.StoreView{ReadAt: w.now, Epoch: w.latest().Epoch, AckedEpochs: map[string]int{}}
	for _, h := range w.ids {
		if !w.now.After(w.expires[h]) {
			s.AckedEpochs[h] = w.acked[h]
		}
	}
	w.hosts[id].ApplyStoreView(s, w.proven(id))
}

// halves returns how many halves of the target the hosts may use in all.
func (w *world) halves() int {
	sum := 0
	for _, id := range w.ids {
		switch w.hosts[id].Share("t", w.proven(id)) {
		case target.ShareFull:
			sum += 2
		case target.ShareRemainder, target.ShareHalf:
			sum++
		}
	}
	return sum
}

// renew lets a host renew its lease; the answer may be lost.
func (w *world) renew(id string, arrives, delivered bool) {
	if w.now.After(w.expires[id]) {
		return
	}
	w.expires[id] = w.now.Add(leaseTime)
	if arrives {
		w.learn(id, delivered)
		w.leases[id].Renewed(w.now)
	}
}

// ack lets a host say in the store which epoch it has adopted.
func (w *world) ack(id string) {
	if !w.now.After(w.expires[id]) {
		w.acked[id] = w.hosts[id].Epoch()
	}
}

// TestTwoOwnersNeverAddUpToMoreThanATargetBears lets hosts learn of epochs late
// or never, pause, lose their leases and hand over, and looks at all shares at
// each moment.
func TestTwoOwnersNeverAddUpToMoreThanATargetBears(t *testing.T) {
	full, half := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("a", "b", "c")
		w.move("a")
		w.learn("a", true)
		w.hosts["a"].HandleRelease(1, "t")
		cut := map[string]bool{}
		chance := func(t *rapid.T, percent int) bool { return rapid.IntRange(0, 99).Draw(t, "chance") < percent }
		host := func(t *rapid.T) string { return rapid.SampledFrom(w.ids).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				n := w.halves()
				if n > 2 {
					t.Fatalf("hosts use %d halves of a target", n)
				}
				full += n / 2
				half += n % 2
			},
			"move":  func(t *rapid.T) { w.move(host(t)) },
			"learn": func(t *rapid.T) { w.learn(host(t), rapid.Bool().Draw(t, "delivered")) },
			"cut":   func(t *rapid.T) { id := host(t); cut[id] = !cut[id] },
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "times") {
					w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
					for _, id := range w.ids {
						if cut[id] {
							continue
						}
						if chance(t, 60) {
							w.renew(id, chance(t, 85), chance(t, 50))
						}
						if chance(t, 30) {
							w.ack(id)
						}
						if chance(t, 50) {
							w.survey(id)
						}
					}
				}
			},
		})
	})
	assert.Positive(t, full, "some host got the whole target")
	assert.Positive(t, half, "some host had to leave a half to another")
}

func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ hosts, targets int }{{9, 106}, {200, 1000}, {830, 3900}} {
		hosts, targets := fleet(size.hosts), backs(size.targets/2, 2)
		b.Run(fmt.Sprintf("%d-hosts-%d-targets", size.hosts, size.targets), func(b *testing.B) {
			dst := map[string]string{}
			b.ReportAllocs()
			for b.Loop() {
				owner.Assign(dst, hosts, targets)
			}
		})
	}
}

package host

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and sizes of a Membership.
const (
	// ProbeInterval is the time between two probes that a host makes.
	ProbeInterval = time.Second
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is how long a suspected host has to refute.
	SuspicionTimeout = 3 * time.Second
	// IndirectProbes is the number of hosts asked to probe one that did not answer.
	IndirectProbes = 2
	// MaxUpdates is the number of news items that go with a message.
	MaxUpdates = 6
	// repeatFactor is how often an item is passed on, in doublings of the
	// number of hosts.
	repeatFactor = 2
)

// State is what is thought of a host.
type State int

// States of a host.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with the name; a name that is not known is
// Alive.
func ParseState(name string) State {
	return State(max(0, slices.Index(stateNames[:], name)))
}

// Update is what is said of a host.
type Update struct {
	ID string
	// Incarnation is the run of the host, and Version rises when it refutes a
	// suspicion.
	Incarnation string
	Version     int
	State       State
}

type peer struct {
	Update
	since  time.Time
	repeat int
}

// Membership is what a host thinks of the others. Reset it before use. It is
// not safe for use by several goroutines.
type Membership struct {
	self   Update
	peers  map[string]*peer
	order  []string
	turn   int
	next   time.Time
	random *rand.Rand
	heard  time.Time
}

// Reset makes the membership that of a host which knows no other.
func (m *Membership) Reset(now time.Time, id, incarnation string, random *rand.Rand) {
	*m = Membership{
		self: Update{ID: id, Incarnation: incarnation}, peers: map[string]*peer{},
		next: now, random: random, heard: now,
	}
}

// SetMembers takes the hosts of the record of members: those that are new are alive,
// those that are not in it are forgotten.
func (m *Membership) SetMembers(now time.Time, incarnations map[string]string) {
	for id, incarnation := range incarnations {
		if p := m.peers[id]; id != m.self.ID && (p == nil || p.Incarnation != incarnation) {
			m.peers[id] = &peer{Update: Update{ID: id, Incarnation: incarnation}, since: now}
		}
	}
	for id := range m.peers {
		if _, ok := incarnations[id]; !ok {
			delete(m.peers, id)
		}
	}
	m.shuffle()
}

// Add takes a host that is known to have run with an incarnation and reports
// whether that is new. A new host is alive.
func (m *Membership) Add(now time.Time, id, incarnation string) bool {
	if id == m.self.ID {
		return false
	}
	if p := m.peers[id]; p != nil && p.Incarnation == incarnation {
		return false
	}
	m.peers[id] = &peer{Update: Update{ID: id, Incarnation: incarnation}, since: now}
	m.shuffle()
	return true
}

// RemoveDead drops the hosts that have been dead for a time and appends their IDs
// to dst.
func (m *Membership) RemoveDead(now time.Time, after time.Duration, dst []string) []string {
	for id, p := range m.peers {
		if p.State == Dead && now.Sub(p.since) >= after {
			delete(m.peers, id)
			dst = append(dst, id)
		}
	}
	if len(dst) > 0 {
		m.shuffle()
	}
	return dst
}

// Each calls f for each other host that is known.
func (m *Membership) Each(f func(Update)) {
	for _, p := range m.peers {
		f(p.Update)
	}
}

func (m *Membership) shuffle() {
	m.order = m.order[:0]
	for id := range m.peers {
		m.order = append(m.order, id)
	}
	slices.Sort(m.order)
	m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	m.turn = 0
}

// NextTick returns when Tick is to be called again.
func (m *Membership) NextTick() time.Time { return m.next }

// Tick returns the host to probe now, or "". Each host has its turn once in
// every round over all, in random order.
func (m *Membership) Tick(now time.Time) string {
	m.age(now)
	if now.Before(m.next) || len(m.order) == 0 {
		m.next = later(m.next, now)
		return ""
	}
	m.next = now.Add(ProbeInterval/2 + time.Duration(m.random.Int64N(int64(ProbeInterval))))
	if m.turn >= len(m.order) {
		m.shuffle()
	}
	id := m.order[m.turn]
	m.turn++
	return id
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b.Add(ProbeInterval)
}

// age takes suspects that did not refute for dead.
func (m *Membership) age(now time.Time) {
	for _, p := range m.peers {
		if p.State == Suspect && now.Sub(p.since) >= SuspicionTimeout {
			m.set(now, p, Dead)
		}
	}
}

func (m *Membership) set(now time.Time, p *peer, s State) {
	p.State = s
	p.since = now
	p.repeat = 0
}

// RandomAlive appends to dst at most n different hosts that are thought alive, but
// not the one to be left out.
func (m *Membership) RandomAlive(dst []string, n int, except string) []string {
	for _, i := range m.random.Perm(len(m.order)) {
		if n == 0 {
			break
		}
		p := m.peers[m.order[i]]
		if p != nil && p.State == Alive && p.ID != except {
			dst = append(dst, p.ID)
			n--
		}
	}
	return dst
}

// UpdatesToSend appends to dst what goes with the next message: the sender's own state,
// then the items that were passed on least often.
func (m *Membership) UpdatesToSend(dst []Update) []Update {
	dst = append(dst, m.self)
	limit := repeatFactor * bits.Len(uint(len(m.peers)+1))
	var fresh []*peer
	for _, p := range m.peers {
		if p.repeat < limit && (p.State != Alive || p.Version > 0) {
			fresh = append(fresh, p)
		}
	}
	slices.SortFunc(fresh, func(a, b *peer) int { return a.repeat - b.repeat })
	for _, p := range fresh[:min(len(fresh), MaxUpdates)] {
		p.repeat++
		dst = append(dst, p.Update)
	}
	return dst
}

// HandleMessage takes news that came with a message from a host, which is thereby known
// to be alive.
func (m *Membership) HandleMessage(now time.Time, from string, news []Update) {
	m.heard = now
	if p := m.peers[from]; p != nil && (p.State == Suspect || p.State == Dead) {
		m.set(now, p, Alive)
		p.Version++
	}
	for _, n := range news {
		m.take(now, n)
	}
}

// take believes news of a newer version, and worse news of the same version.
func (m *Membership) take(now time.Time, n Update) {
	if n.ID == m.self.ID {
		m.refute(n)
		return
	}
	p := m.peers[n.ID]
	if p == nil || p.Incarnation != n.Incarnation {
		return
	}
	if n.Version > p.Version || n.Version == p.Version && n.State > p.State {
		p.Version = n.Version
		m.set(now, p, n.State)
	}
}

// refute answers a suspicion of this host with a higher version.
func (m *Membership) refute(n Update) {
	if n.Incarnation == m.self.Incarnation && n.Version >= m.self.Version && (n.State == Suspect || n.State == Dead) {
		m.self.Version = n.Version + 1
	}
}

// Leave marks this host as leaving.
func (m *Membership) Leave() {
	m.self.State = Leaving
	m.self.Version++
}

// ProbeFailed notes that a host answered neither a probe nor those of the helpers.
func (m *Membership) ProbeFailed(now time.Time, id string) {
	if p := m.peers[id]; p != nil && (p.State == Alive || p.State == Leaving) {
		m.set(now, p, Suspect)
	}
}

// State returns what is thought of a host. A host that is not known is Dead.
func (m *Membership) State(id string) State {
	if id == m.self.ID {
		return m.self.State
	}
	if p := m.peers[id]; p != nil {
		return p.State
	}
	return Dead
}

// LastReceived returns when a message of any other host came last.
func (m *Membership) LastReceived() time.Time { return m.heard }

// Len returns the number of other hosts that are known.
func (m *Membership) Len() int { return len(m.peers) }

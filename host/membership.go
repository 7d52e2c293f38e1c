package host

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and sizes of a Membership.
const (
	// Period is the time between two probes that a host makes.
	Period = time.Second
	// Timeout is how long the answer to a probe may take.
	Timeout = 200 * time.Millisecond
	// Suspicion is how long a suspected host has to refute.
	Suspicion = 3 * time.Second
	// Helpers is the number of hosts asked to probe one that did not answer.
	Helpers = 2
	// MostNews is the number of news items that go with a message.
	MostNews = 6
	// retransmitFactor is how often an item is passed on, in doublings of the
	// number of hosts.
	retransmitFactor = 2
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

// News is what is said of a host.
type News struct {
	ID string
	// Incarnation is the run of the host, and Version rises when it refutes a
	// suspicion.
	Incarnation string
	Version     int
	State       State
}

type peer struct {
	News
	stateSince time.Time
	timesSent  int
}

// Membership is what a host thinks of the others. Reset it before use. It is
// not safe for use by several goroutines.
type Membership struct {
	self         News
	peers        map[string]*peer
	probeOrder   []string
	probeIndex   int
	nextTick     time.Time
	random       *rand.Rand
	lastReceived time.Time
}

// Reset makes the membership that of a host which knows no other.
func (m *Membership) Reset(now time.Time, id, incarnation string, random *rand.Rand) {
	*m = Membership{
		self: News{ID: id, Incarnation: incarnation}, peers: map[string]*peer{},
		nextTick: now, random: random, lastReceived: now,
	}
}

// Join takes the hosts of the record of members: those that are new are alive,
// those that are not in it are forgotten.
func (m *Membership) Join(now time.Time, incarnations map[string]string) {
	for id, incarnation := range incarnations {
		if p := m.peers[id]; id != m.self.ID && (p == nil || p.Incarnation != incarnation) {
			m.peers[id] = &peer{News: News{ID: id, Incarnation: incarnation}, stateSince: now}
		}
	}
	for id := range m.peers {
		if _, ok := incarnations[id]; !ok {
			delete(m.peers, id)
		}
	}
	m.shuffle()
}

// Meet takes a host that is known to have run with an incarnation and reports
// whether that is new. A new host is alive.
func (m *Membership) Meet(now time.Time, id, incarnation string) bool {
	if id == m.self.ID {
		return false
	}
	if p := m.peers[id]; p != nil && p.Incarnation == incarnation {
		return false
	}
	m.peers[id] = &peer{News: News{ID: id, Incarnation: incarnation}, stateSince: now}
	m.shuffle()
	return true
}

// Forget drops the hosts that have been dead for a time and appends their IDs
// to dst.
func (m *Membership) Forget(now time.Time, after time.Duration, dst []string) []string {
	for id, p := range m.peers {
		if p.State == Dead && now.Sub(p.stateSince) >= after {
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
func (m *Membership) Each(f func(News)) {
	for _, p := range m.peers {
		f(p.News)
	}
}

func (m *Membership) shuffle() {
	m.probeOrder = m.probeOrder[:0]
	for id := range m.peers {
		m.probeOrder = append(m.probeOrder, id)
	}
	slices.Sort(m.probeOrder)
	m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	m.probeIndex = 0
}

// Next returns when Tick is to be called again.
func (m *Membership) Next() time.Time { return m.nextTick }

// Tick returns the host to probe now, or "". Each host has its turn once in
// every round over all, in random order.
func (m *Membership) Tick(now time.Time) string {
	m.expireSuspects(now)
	if now.Before(m.nextTick) || len(m.probeOrder) == 0 {
		m.nextTick = postpone(m.nextTick, now)
		return ""
	}
	m.nextTick = now.Add(Period/2 + time.Duration(m.random.Int64N(int64(Period))))
	if m.probeIndex >= len(m.probeOrder) {
		m.shuffle()
	}
	id := m.probeOrder[m.probeIndex]
	m.probeIndex++
	return id
}

func postpone(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b.Add(Period)
}

// expireSuspects takes suspects that did not refute for dead.
func (m *Membership) expireSuspects(now time.Time) {
	for _, p := range m.peers {
		if p.State == Suspect && now.Sub(p.stateSince) >= Suspicion {
			m.setState(now, p, Dead)
		}
	}
}

func (m *Membership) setState(now time.Time, p *peer, s State) {
	p.State = s
	p.stateSince = now
	p.timesSent = 0
}

// Random appends to dst at most n different hosts that are thought alive, but
// not the one to be left out.
func (m *Membership) Random(dst []string, n int, except string) []string {
	for _, i := range m.random.Perm(len(m.probeOrder)) {
		if n == 0 {
			break
		}
		p := m.peers[m.probeOrder[i]]
		if p != nil && p.State == Alive && p.ID != except {
			dst = append(dst, p.ID)
			n--
		}
	}
	return dst
}

// News appends to dst what goes with the next message: the sender's own state,
// then the items that were passed on least often.
func (m *Membership) News(dst []News) []News {
	dst = append(dst, m.self)
	limit := retransmitFactor * bits.Len(uint(len(m.peers)+1))
	var fresh []*peer
	for _, p := range m.peers {
		if p.timesSent < limit && (p.State != Alive || p.Version > 0) {
			fresh = append(fresh, p)
		}
	}
	slices.SortFunc(fresh, func(a, b *peer) int { return a.timesSent - b.timesSent })
	for _, p := range fresh[:min(len(fresh), MostNews)] {
		p.timesSent++
		dst = append(dst, p.News)
	}
	return dst
}

// Hear takes news that came with a message from a host, which is thereby known
// to be alive.
func (m *Membership) Hear(now time.Time, from string, news []News) {
	m.lastReceived = now
	if p := m.peers[from]; p != nil && (p.State == Suspect || p.State == Dead) {
		m.setState(now, p, Alive)
		p.Version++
	}
	for _, n := range news {
		m.merge(now, n)
	}
}

// merge believes news of a newer version, and worse news of the same version.
func (m *Membership) merge(now time.Time, n News) {
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
		m.setState(now, p, n.State)
	}
}

// refute answers a suspicion of this host with a higher version.
func (m *Membership) refute(n News) {
	if n.Incarnation == m.self.Incarnation && n.Version >= m.self.Version && (n.State == Suspect || n.State == Dead) {
		m.self.Version = n.Version + 1
	}
}

// Leave marks this host as leaving.
func (m *Membership) Leave() {
	m.self.State = Leaving
	m.self.Version++
}

// Failed notes that a host answered neither a probe nor those of the helpers.
func (m *Membership) Failed(now time.Time, id string) {
	if p := m.peers[id]; p != nil && (p.State == Alive || p.State == Leaving) {
		m.setState(now, p, Suspect)
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

// Heard returns when a message of any other host came last.
func (m *Membership) Heard() time.Time { return m.lastReceived }

// Len returns the number of other hosts that are known.
func (m *Membership) Len() int { return len(m.peers) }

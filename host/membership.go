package host

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and sizes of a Membership.
const (
	// ProbeInterval is the mean time between two probes that a host sends.
	ProbeInterval = time.Second
	// ProbeTimeout is the maximum time to wait for the reply to a probe.
	ProbeTimeout = 200 * time.Millisecond
	// SuspicionTimeout is the time that a suspected host has to refute the suspicion.
	SuspicionTimeout = 3 * time.Second
	// IndirectProbes is the number of hosts that are asked to probe a host that did not
	// reply.
	IndirectProbes = 2
	// MaxUpdates is the maximum number of updates on other hosts in a message.
	MaxUpdates = 6
	// retransmitFactor, times the binary logarithm of the number of hosts, is the
	// number of times that an update is sent.
	retransmitFactor = 2
	// removedHostMemory is how long the incarnation of a removed host is remembered. It is
	// longer than what others have written of the host is kept.
	removedHostMemory = 3 * time.Minute
)

// State is the state of a host as observed by another.
type State int

// States of a host, from best to worst.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

var stateNames = [...]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with the name. An unknown name is Alive.
func ParseState(name string) State {
	return State(max(0, slices.Index(stateNames[:], name)))
}

// Update is the state of a host, as sent to other hosts.
type Update struct {
	ID string
	// Incarnation identifies a start of the host's process. Version increases when the
	// host refutes a suspicion or leaves.
	Incarnation string
	Version     int
	State       State
}

type peer struct {
	Update
	stateSince time.Time
	timesSent  int
	// heardAt is when the last message of the host arrived, and followUpAt when it was last
	// among the follow-up probes, or zero if another one is due at once.
	heardAt, followUpAt time.Time
	// followUpTries is the number of follow-up probes in a row since the host is silent.
	followUpTries int
}

// removedHost is a host that was removed because it was dead.
type removedHost struct {
	incarnation string
	at          time.Time
}

// Membership holds the states of the other hosts as observed by one host. Call Reset
// before use. A Membership is not safe for concurrent use.
type Membership struct {
	self         Update
	peers        map[string]*peer
	probeOrder   []string
	probeIndex   int
	nextTick     time.Time
	random       *rand.Rand
	lastReceived time.Time
	removed      map[string]removedHost
	followUps    followUps
}

// Reset sets the identity of the host and removes all others.
func (m *Membership) Reset(now time.Time, id, incarnation string, random *rand.Rand) {
	*m = Membership{
		self: Update{ID: id, Incarnation: incarnation}, peers: map[string]*peer{}, removed: map[string]removedHost{},
		nextTick: now, random: random, lastReceived: now,
	}
}

// SetMembers sets the hosts to those in the member list: new hosts are alive, and
// hosts that are not in the list are removed.
func (m *Membership) SetMembers(now time.Time, incarnations map[string]string) {
	for id, incarnation := range incarnations {
		if p := m.peers[id]; id != m.self.ID && (p == nil || p.Incarnation != incarnation) {
			m.peers[id] = &peer{Update: Update{ID: id, Incarnation: incarnation}, stateSince: now}
		}
	}
	for id := range m.peers {
		if _, ok := incarnations[id]; !ok {
			delete(m.peers, id)
		}
	}
	m.shuffle()
}

// Add adds a host with an incarnation, as alive, and reports whether the host or this
// incarnation of it is new. It changes nothing if neither is. An incarnation that was removed
// because it was dead is added as dead: until a message of it arrives, it is only known from
// what was written before it died.
func (m *Membership) Add(now time.Time, id, incarnation string) bool {
	if id == m.self.ID {
		return false
	}
	if p := m.peers[id]; p != nil && p.Incarnation == incarnation {
		return false
	}
	p := &peer{Update: Update{ID: id, Incarnation: incarnation}, stateSince: now}
	if m.removed[id].incarnation == incarnation {
		p.State = Dead
	}
	m.peers[id] = p
	m.shuffle()
	return true
}

// RemoveDead removes the hosts that have been dead for at least the given time and
// appends their IDs to dst.
func (m *Membership) RemoveDead(now time.Time, after time.Duration, dst []string) []string {
	for id, r := range m.removed {
		if now.Sub(r.at) >= removedHostMemory {
			delete(m.removed, id)
		}
	}
	for id, p := range m.peers {
		if p.State == Dead && now.Sub(p.stateSince) >= after {
			delete(m.peers, id)
			m.removed[id] = removedHost{incarnation: p.Incarnation, at: now}
			dst = append(dst, id)
		}
	}
	if len(dst) > 0 {
		m.shuffle()
	}
	return dst
}

// Each calls f for each other host.
func (m *Membership) Each(f func(Update)) {
	for _, p := range m.peers {
		f(p.Update)
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

// NextTick returns when Tick or FollowUp is due. It can become earlier when a probe is not
// answered or a message arrives.
func (m *Membership) NextTick() time.Time {
	if m.followUps.pending() && m.followUps.next.Before(m.nextTick) {
		return m.followUps.next
	}
	return m.nextTick
}

// Tick declares dead the suspects that did not refute the suspicion in time and returns
// the host to probe now, or "" if no probe is due. Each host is probed once in every
// round over all hosts, in random order.
func (m *Membership) Tick(now time.Time) string {
	m.expireSuspects(now)
	if now.Before(m.nextTick) || len(m.probeOrder) == 0 {
		m.nextTick = postpone(m.nextTick, now)
		return ""
	}
	m.nextTick = now.Add(ProbeInterval/2 + time.Duration(m.random.Int64N(int64(ProbeInterval))))
	if m.probeIndex >= len(m.probeOrder) {
		m.shuffle()
	}
	id := m.probeOrder[m.probeIndex]
	m.probeIndex++
	return id
}

func postpone(tick, now time.Time) time.Time {
	if tick.After(now) {
		return tick
	}
	return now.Add(ProbeInterval)
}

// expireSuspects declares dead the suspects that did not refute the suspicion in time.
func (m *Membership) expireSuspects(now time.Time) {
	for _, p := range m.peers {
		if p.State == Suspect && now.Sub(p.stateSince) >= SuspicionTimeout {
			m.setState(now, p, Dead)
		}
	}
}

func (m *Membership) setState(now time.Time, p *peer, s State) {
	p.State = s
	p.stateSince = now
	p.timesSent = 0
}

// RandomAlive appends to dst up to n distinct hosts that are alive as observed, without
// the excluded one.
func (m *Membership) RandomAlive(dst []string, n int, exclude string) []string {
	for _, i := range m.random.Perm(len(m.probeOrder)) {
		if n == 0 {
			break
		}
		p := m.peers[m.probeOrder[i]]
		if p != nil && p.State == Alive && p.ID != exclude {
			dst = append(dst, p.ID)
			n--
		}
	}
	return dst
}

// UpdatesToSend appends to dst the updates for the next message: the state of the
// sender, then the updates that were sent least often.
func (m *Membership) UpdatesToSend(dst []Update) []Update {
	dst = append(dst, m.self)
	limit := retransmitFactor * bits.Len(uint(len(m.peers)+1))
	var pending []*peer
	for _, p := range m.peers {
		if p.timesSent < limit && (p.State != Alive || p.Version > 0) {
			pending = append(pending, p)
		}
	}
	slices.SortFunc(pending, func(a, b *peer) int { return a.timesSent - b.timesSent })
	for _, p := range pending[:min(len(pending), MaxUpdates)] {
		p.timesSent++
		dst = append(dst, p.Update)
	}
	return dst
}

// HandleMessage merges the updates that came with a message from a host. The message
// shows that the sender is alive.
func (m *Membership) HandleMessage(now time.Time, from string, updates []Update) {
	m.lastReceived = now
	if p := m.peers[from]; p != nil {
		p.heardAt, p.followUpTries = now, 0
		if p.State == Suspect || p.State == Dead {
			m.setState(now, p, Alive)
			p.Version++
			m.followUps.heard = min(m.followUps.heard+followUpsPerHost, len(m.peers))
		}
	}
	for _, u := range updates {
		m.merge(now, u)
	}
}

// merge applies an update of a newer version, or a worse state of the same version.
func (m *Membership) merge(now time.Time, u Update) {
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	p := m.peers[u.ID]
	if p == nil || p.Incarnation != u.Incarnation {
		return
	}
	if u.Version > p.Version || u.Version == p.Version && u.State > p.State {
		p.Version = u.Version
		m.setState(now, p, u.State)
		if u.State == Suspect {
			m.suspected()
		}
	}
}

// refute responds to a suspicion of this host by raising its version.
func (m *Membership) refute(u Update) {
	if u.Incarnation == m.self.Incarnation && u.Version >= m.self.Version && (u.State == Suspect || u.State == Dead) {
		m.self.Version = u.Version + 1
	}
}

// Leave marks this host as leaving.
func (m *Membership) Leave() {
	m.self.State = Leaving
	m.self.Version++
}

// ProbeFailed records that a host replied neither to a direct probe nor to the indirect
// ones.
func (m *Membership) ProbeFailed(now time.Time, id string) {
	p := m.peers[id]
	switch {
	case p == nil:
	case p.State == Alive || p.State == Leaving:
		m.setState(now, p, Suspect)
		m.suspected()
	default:
		m.followUpFailed(p)
	}
}

// State returns the state of a host as observed. An unknown host is Dead.
func (m *Membership) State(id string) State {
	if id == m.self.ID {
		return m.self.State
	}
	if p := m.peers[id]; p != nil {
		return p.State
	}
	return Dead
}

// LastReceived returns when the last message from any other host arrived.
func (m *Membership) LastReceived() time.Time { return m.lastReceived }

// Len returns the number of other hosts.
func (m *Membership) Len() int { return len(m.peers) }

package host_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/host"
)

var began = time.Unix(1_700_000_000, 0)

// group is some memberships that talk at once, without a network. Hosts that
// are cut answer nobody.
type group struct {
	now     time.Time
	members map[string]*host.Membership
	ids     []string
	cut     map[string]bool
	probes  int
}

func newGroup(n int) *group {
	g := &group{now: began, members: map[string]*host.Membership{}, cut: map[string]bool{}}
	incarnations := map[string]string{}
	for i := range n {
		id := fmt.Sprintf("h%03d", i)
		g.ids = append(g.ids, id)
		incarnations[id] = "1"
	}
	for i, id := range g.ids {
		m := &host.Membership{}
		m.Reset(began, id, "1", rand.New(rand.NewPCG(uint64(i), 7)))
		m.SetMembers(began, incarnations)
		g.members[id] = m
	}
	return g
}

func (g *group) talk(a, b string) bool {
	g.probes++
	if g.cut[a] || g.cut[b] {
		return false
	}
	g.members[b].HandleMessage(g.now, a, g.members[a].UpdatesToSend(nil))
	g.members[a].HandleMessage(g.now, b, g.members[b].UpdatesToSend(nil))
	return true
}

// run lets the hosts probe for a time.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(50 * time.Millisecond) {
		for _, id := range g.ids {
			m := g.members[id]
			to := m.Tick(g.now)
			if to == "" || g.talk(id, to) {
				continue
			}
			reached := false
			for _, helper := range m.RandomAlive(nil, host.IndirectProbes, to) {
				reached = reached || g.talk(id, helper) && g.talk(helper, to)
			}
			if !reached {
				m.ProbeFailed(g.now, to)
			}
		}
	}
}

// thinking returns how many hosts that are not cut think so of a host.
func (g *group) thinking(of string, s host.State) int {
	n := 0
	for _, id := range g.ids {
		if !g.cut[id] && id != of && g.members[id].State(of) == s {
			n++
		}
	}
	return n
}

func TestDeadHostIsKnownToAll(t *testing.T) {
	for _, n := range []int{6, 9, 50, 200} {
		g := newGroup(n)
		g.run(3 * time.Second)
		g.cut["h001"] = true
		g.run(15 * time.Second)
		assert.Equal(t, n-1, g.thinking("h001", host.Dead), "of %d hosts", n)
		for _, id := range g.ids[2:] {
			assert.Zero(t, g.thinking(id, host.Dead), "%s is alive", id)
		}
	}
}

func TestHostRefutesASuspicion(t *testing.T) {
	g := newGroup(9)
	g.run(2 * time.Second)
	g.members["h000"].ProbeFailed(g.now, "h001")
	assert.Equal(t, host.Suspect, g.members["h000"].State("h001"))
	g.run(10 * time.Second)
	assert.Equal(t, 8, g.thinking("h001", host.Alive))
}

func TestCostDoesNotGrowWithTheGroup(t *testing.T) {
	for _, n := range []int{9, 50, 200} {
		g := newGroup(n)
		g.run(10 * time.Second)
		assert.InDelta(t, 10, float64(g.probes)/float64(n), 2, "probes of a host in 10 s")
	}
}

func TestLeavingIsPassedOn(t *testing.T) {
	g := newGroup(20)
	g.members["h003"].Leave()
	g.run(10 * time.Second)
	assert.Equal(t, 19, g.thinking("h003", host.Leaving))
}

// BenchmarkSpread measures how long a change takes to reach all hosts when each
// host that learns of it tells five others at once and five more after half a
// second, and all go on probing. Telling takes 5 ms.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 200, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			worst, sum, messages := time.Duration(0), time.Duration(0), 0
			for i := range b.N {
				took, told := spread(n, uint64(i))
				worst, sum, messages = max(worst, took), sum+took, messages+told
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "mean-ms")
			b.ReportMetric(float64(messages)/float64(b.N)/float64(n), "messages/host")
		})
	}
}

// spread returns the time until the last of n hosts knows, and the messages
// sent for it.
func spread(n int, seed uint64) (time.Duration, int) {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 3))
	knows := make([]int, n)
	knows[0] = 1
	count, messages := 1, 0
	tell := func(at, times int) {
		for range times {
			messages++
			if to := random.IntN(n); knows[to] == 0 {
				knows[to] = at + 1
				count++
			}
		}
	}
	for at := 1; ; at++ {
		for i := range knows {
			switch {
			case knows[i] == at:
				tell(at, 5)
			case knows[i] != 0 && knows[i]+100 == at:
				tell(at, 5)
			}
			// Each host probes one other a second, and learns from it or tells it.
			if random.IntN(int(time.Second/step)) == 0 {
				if j := random.IntN(n); (knows[i] == 0) != (knows[j] == 0) {
					knows[i], knows[j] = max(knows[i], at+1), max(knows[j], at+1)
					count++
				}
			}
		}
		if count >= n {
			return time.Duration(at) * step, messages
		}
	}
}

func TestMeetsHostsOneByOneAndForgetsTheDead(t *testing.T) {
	now := time.Unix(1000, 0)
	var m host.Membership
	m.Reset(now, "a", "run", rand.New(rand.NewPCG(1, 1)))
	assert.False(t, m.Add(now, "a", "run"), "itself")
	assert.True(t, m.Add(now, "b", "one"))
	assert.False(t, m.Add(now, "b", "one"))
	m.ProbeFailed(now, "b")
	m.Tick(now.Add(host.SuspicionTimeout))
	assert.Equal(t, host.Dead, m.State("b"))
	assert.True(t, m.Add(now, "b", "two"), "it has started again")
	assert.Equal(t, host.Alive, m.State("b"))
	m.ProbeFailed(now, "b")
	m.Tick(now.Add(host.SuspicionTimeout))
	assert.Empty(t, m.RemoveDead(now.Add(host.SuspicionTimeout), time.Second, nil))
	assert.Equal(t, []string{"b"}, m.RemoveDead(now.Add(host.SuspicionTimeout+time.Second), time.Second, nil))
	assert.Equal(t, 0, m.Len())
}

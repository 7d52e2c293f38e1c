package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/host"
)

var began = time.Unix(1_700_000_000, 0)

// cluster is a set of memberships that exchange messages without a network and without
// delay. Disconnected hosts reply to no one.
type cluster struct {
	now          time.Time
	members      map[string]*host.Membership
	ids          []string
	disconnected map[string]bool
	probes       int
	// unanswered and failed are the probes that time out directly and altogether.
	unanswered, failed []unanswered
}

// unanswered is a probe that times out at a time.
type unanswered struct {
	at       time.Time
	from, to string
}

func newCluster(n int) *cluster {
	c := &cluster{now: began, members: map[string]*host.Membership{}, disconnected: map[string]bool{}}
	incarnations := map[string]string{}
	for i := range n {
		id := fmt.Sprintf("h%03d", i)
		c.ids = append(c.ids, id)
		incarnations[id] = "1"
	}
	for i, id := range c.ids {
		m := &host.Membership{}
		m.Reset(began, id, "1", rand.New(rand.NewPCG(uint64(i), 7)))
		m.SetMembers(began, incarnations)
		c.members[id] = m
	}
	return c
}

func (c *cluster) exchange(a, b string) bool {
	c.probes++
	if c.disconnected[a] || c.disconnected[b] {
		return false
	}
	c.members[b].HandleMessage(c.now, a, c.members[a].UpdatesToSend(nil))
	c.members[a].HandleMessage(c.now, b, c.members[b].UpdatesToSend(nil))
	return true
}

// step is the resolution of the simulated time.
const step = 10 * time.Millisecond

// run simulates the probes of all hosts for the duration.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(step) {
		c.expire()
		for _, id := range c.ids {
			if c.disconnected[id] {
				continue
			}
			m := c.members[id]
			if c.now.Before(m.NextTick()) {
				continue
			}
			if to := m.Tick(c.now); to != "" {
				c.probe(id, to)
			}
			if to := m.FollowUp(c.now, func(string) bool { return true }); to != "" {
				c.probe(id, to)
			}
		}
	}
}

// probe simulates a probe, with the indirect probes if there is no reply.
func (c *cluster) probe(from, to string) {
	m := c.members[from]
	if c.exchange(from, to) {
		return
	}
	c.unanswered = append(c.unanswered, unanswered{at: c.now.Add(host.ProbeTimeout), from: from, to: to})
	reached := false
	for _, helper := range m.RandomAlive(nil, host.IndirectProbes, to) {
		reached = reached || c.exchange(from, helper) && c.exchange(helper, to)
	}
	if !reached {
		c.failed = append(c.failed, unanswered{at: c.now.Add(2 * host.ProbeTimeout), from: from, to: to})
	}
}

// expire records the probes that have timed out.
func (c *cluster) expire() {
	c.unanswered = slices.DeleteFunc(c.unanswered, func(u unanswered) bool {
		if c.now.Before(u.at) {
			return false
		}
		c.members[u.from].ProbeUnanswered(u.to)
		return true
	})
	c.failed = slices.DeleteFunc(c.failed, func(u unanswered) bool {
		if c.now.Before(u.at) {
			return false
		}
		c.members[u.from].ProbeFailed(c.now, u.to)
		return true
	})
}

// countObserving returns the number of connected hosts that observe a host in a state.
func (c *cluster) countObserving(of string, s host.State) int {
	n := 0
	for _, id := range c.ids {
		if !c.disconnected[id] && id != of && c.members[id].State(of) == s {
			n++
		}
	}
	return n
}

func TestAllHostsDetectDeadHost(t *testing.T) {
	for _, n := range []int{6, 9, 50, 200} {
		c := newCluster(n)
		c.run(3 * time.Second)
		c.disconnected["h001"] = true
		c.run(15 * time.Second)
		assert.Equal(t, n-1, c.countObserving("h001", host.Dead), "of %d hosts", n)
		for _, id := range c.ids[2:] {
			assert.Zero(t, c.countObserving(id, host.Dead), "%s is alive", id)
		}
	}
}

// TestSurvivorsFindAllDeadHosts kills all hosts but a few at the same moment. Each survivor has
// to find all of them dead within the time for which callers may be given their addresses,
// although so few hosts probe.
func TestSurvivorsFindAllDeadHosts(t *testing.T) {
	const addressesMayNameDead = 7 * time.Second
	for _, n := range []int{9, 60, 300} {
		for _, survivors := range []int{1, 2, 3, n / 4, n / 2} {
			c := newCluster(n)
			c.run(2 * time.Second)
			for _, id := range c.ids[survivors:] {
				c.disconnected[id] = true
			}
			c.run(addressesMayNameDead)
			for _, id := range c.ids[survivors:] {
				if named := c.countObserving(id, host.Alive); named > 0 {
					t.Errorf("%d of %d survivors of %d hosts take %s for alive", named, survivors, n, id)
					break
				}
			}
			for _, id := range c.ids[:survivors] {
				assert.Equal(t, survivors-1, c.countObserving(id, host.Alive), "survivors stay alive")
			}
		}
	}
}

// TestOneDeadHostCausesFewFurtherProbes guards against probes that multiply although nearly
// all hosts reply.
func TestOneDeadHostCausesFewFurtherProbes(t *testing.T) {
	const n, seconds = 200, 20
	c := newCluster(n)
	c.run(3 * time.Second)
	c.disconnected["h001"] = true
	c.probes = 0
	c.run(seconds * time.Second)
	assert.Less(t, float64(c.probes)/n/seconds, 1.3, "probes of a host in a second")
}

// TestFollowUpsAreLimited lets all probes of a host fail all the time while it goes on hearing
// the others, as one whose messages are all lost.
func TestFollowUpsAreLimited(t *testing.T) {
	const n, seconds = 300, 10
	c := newCluster(n)
	m, sent := c.members["h000"], 0
	for range seconds * 100 {
		c.now = c.now.Add(step)
		m.ProbeUnanswered("h001")
		if m.FollowUp(c.now, func(string) bool { return true }) != "" {
			sent++
		}
	}
	assert.LessOrEqual(t, sent, seconds*n/2, "half of the hosts in a second")
	assert.Greater(t, sent, n, "all hosts are probed")
}

// reconnect has a host that takes all n-1 others for silent hear one of them, and plays the
// follow-up probes of a time limit. fail is called failAfter later for a probe that is not
// answered; of those to a host the first lost ones are not. It returns the number of probes.
func reconnect(c *cluster, n, lost int, fail func(m *host.Membership, id string)) int {
	const failAfter, timeLimit = 500 * time.Millisecond, 4 * time.Second
	m, tries, failAt, sent := c.members["h000"], map[string]int{}, map[string]time.Time{}, 0
	for i := range n {
		m.ProbeFailed(c.now, fmt.Sprintf("h%03d", i))
	}
	m.HandleMessage(c.now, "h001", nil)
	for end := c.now.Add(timeLimit); c.now.Before(end); c.now = c.now.Add(step) {
		for id, at := range failAt {
			if !c.now.Before(at) {
				delete(failAt, id)
				fail(m, id)
			}
		}
		id := m.FollowUp(c.now, func(string) bool { return true })
		if id == "" {
			continue
		}
		sent++
		if tries[id]++; tries[id] > lost {
			m.HandleMessage(c.now, id, nil)
		} else {
			failAt[id] = c.now.Add(failAfter)
		}
	}
	return sent
}

// TestLostFollowUpIsSentAgain guards against a host that is back and takes others for silent until
// their turn, because a probe to them or its answer was lost, also if other hosts reach them. A
// dead host costs a few probes.
func TestLostFollowUpIsSentAgain(t *testing.T) {
	const n, all = 12, 1 << 30
	failures := map[string]func(*cluster, *host.Membership, string){
		"no answer":       func(c *cluster, m *host.Membership, id string) { m.ProbeFailed(c.now, id) },
		"indirect answer": func(_ *cluster, m *host.Membership, id string) { m.AnsweredIndirectly(id) },
	}
	for name, fail := range failures {
		for _, lost := range []int{0, 1, 2, all} {
			c := newCluster(n)
			sent := reconnect(c, n, lost, func(m *host.Membership, id string) { fail(c, m, id) })
			if lost == all {
				assert.Equal(t, 9, sent, "%s: three tries of three hosts", name)
				continue
			}
			assert.Equal(t, (n-2)*(lost+1), sent, "%s, %d lost", name, lost)
			for i := 1; i < n; i++ {
				assert.Equal(t, host.Alive, c.members["h000"].State(fmt.Sprintf("h%03d", i)), "%s, %d lost", name, lost)
			}
		}
	}
}

func TestHostRefutesSuspicion(t *testing.T) {
	c := newCluster(9)
	c.run(2 * time.Second)
	c.members["h000"].ProbeFailed(c.now, "h001")
	assert.Equal(t, host.Suspect, c.members["h000"].State("h001"))
	c.run(10 * time.Second)
	assert.Equal(t, 8, c.countObserving("h001", host.Alive))
}

func TestProbeRateIsIndependentOfClusterSize(t *testing.T) {
	for _, n := range []int{9, 50, 200} {
		c := newCluster(n)
		c.run(10 * time.Second)
		assert.InDelta(t, 10, float64(c.probes)/float64(n), 2, "probes of a host in 10 s")
	}
}

func TestLeavingStateIsDisseminated(t *testing.T) {
	c := newCluster(20)
	c.members["h003"].Leave()
	c.run(10 * time.Second)
	assert.Equal(t, 19, c.countObserving("h003", host.Leaving))
}

// BenchmarkSpread measures how long an update takes to reach all hosts when each host
// that receives it sends it to five others at once and to five more after half a second,
// and all continue to probe. A message takes 5 ms.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{50, 200, 830} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			worst, sum, messages := time.Duration(0), time.Duration(0), 0
			for i := range b.N {
				took, sent := spread(n, uint64(i))
				worst, sum, messages = max(worst, took), sum+took, messages+sent
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "mean-ms")
			b.ReportMetric(float64(messages)/float64(b.N)/float64(n), "messages/host")
		})
	}
}

// spread returns the time until the last of n hosts has received an update, and the
// number of messages sent for it.
func spread(n int, seed uint64) (time.Duration, int) {
	random := rand.New(rand.NewPCG(seed, 3))
	received := make([]int, n)
	received[0] = 1
	count, messages := 1, 0
	send := func(at, times int) {
		for range times {
			messages++
			if to := random.IntN(n); received[to] == 0 {
				received[to] = at + 1
				count++
			}
		}
	}
	for at := 1; ; at++ {
		for i := range received {
			switch {
			case received[i] == at:
				send(at, 5)
			case received[i] != 0 && received[i]+100 == at:
				send(at, 5)
			}
			// Each host probes one other a second, which exchanges the update.
			if random.IntN(int(time.Second/step)) == 0 {
				if j := random.IntN(n); (received[i] == 0) != (received[j] == 0) {
					received[i], received[j] = max(received[i], at+1), max(received[j], at+1)
					count++
				}
			}
		}
		if count >= n {
			return time.Duration(at) * step, messages
		}
	}
}

func TestAddsHostsAndRemovesDead(t *testing.T) {
	now := time.Unix(1000, 0)
	var m host.Membership
	m.Reset(now, "a", "run", rand.New(rand.NewPCG(1, 1)))
	assert.False(t, m.Add(now, "a", "run"), "own ID")
	assert.True(t, m.Add(now, "b", "one"))
	assert.False(t, m.Add(now, "b", "one"))
	m.ProbeFailed(now, "b")
	m.Tick(now.Add(host.SuspicionTimeout))
	assert.Equal(t, host.Dead, m.State("b"))
	assert.True(t, m.Add(now, "b", "two"), "new incarnation")
	assert.Equal(t, host.Alive, m.State("b"))
	m.ProbeFailed(now, "b")
	m.Tick(now.Add(host.SuspicionTimeout))
	assert.Empty(t, m.RemoveDead(now.Add(host.SuspicionTimeout), time.Second, nil))
	assert.Equal(t, []string{"b"}, m.RemoveDead(now.Add(host.SuspicionTimeout+time.Second), time.Second, nil))
	assert.Equal(t, 0, m.Len())
}

// TestRecordOfDeadHostDoesNotReviveIt adds a host again that was removed because it was dead. A
// record of a host outlives it by up to a minute.
func TestRecordOfDeadHostDoesNotReviveIt(t *testing.T) {
	now := time.Unix(1000, 0)
	var m host.Membership
	m.Reset(now, "a", "run", rand.New(rand.NewPCG(1, 1)))
	assert.True(t, m.Add(now, "b", "one"))
	m.ProbeFailed(now, "b")
	now = now.Add(host.SuspicionTimeout)
	m.Tick(now)
	assert.Equal(t, []string{"b"}, m.RemoveDead(now, 0, nil))
	now = now.Add(time.Minute)
	assert.True(t, m.Add(now, "b", "one"))
	assert.Equal(t, host.Dead, m.State("b"))
	m.HandleMessage(now, "b", nil)
	assert.Equal(t, host.Alive, m.State("b"), "it was only cut off")

	m.ProbeFailed(now, "b")
	now = now.Add(host.SuspicionTimeout)
	m.Tick(now)
	m.RemoveDead(now, 0, nil)
	assert.True(t, m.Add(now, "b", "two"))
	assert.Equal(t, host.Alive, m.State("b"), "a new incarnation")
}

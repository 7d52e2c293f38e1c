package peers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/host"
	"fescuerill/internal/fleet/peers"
)

// startFleetIn starts hosts in data centres, all of which know each other.
func startFleetIn(t *testing.T, dataCentres ...string) []*member {
	var all []*member
	for i, dataCentre := range dataCentres {
		all = append(all, join(t, i, dataCentre))
	}
	for _, m := range all {
		for i, o := range all {
			m.AddHost(peers.Host{Address: o.address, DataCentre: dataCentres[i], Incarnation: fmt.Sprint("run", i)})
		}
		m.SetSizeKnown()
	}
	for _, m := range all {
		require.Eventually(t, func() bool { return m.aliveAmong(all) == len(all)-1 }, 5*time.Second, 10*time.Millisecond)
	}
	return all
}

// aliveAmong returns the number of others that the member takes for alive.
func (m *member) aliveAmong(others []*member) int {
	n := 0
	for _, o := range others {
		if o != m && m.state(o.address) == host.Alive {
			n++
		}
	}
	return n
}

// TestSurvivorsTakeNoDeadHostForAlive guards against directories that name dead hosts for long
// because few hosts are left to probe them: one or two, in data centres that are large enough to
// be found down as a whole, or not.
func TestSurvivorsTakeNoDeadHostForAlive(t *testing.T) {
	const addressesMayNameDead = 7 * time.Second
	fleets := map[string][]string{
		"one data centre":    slices.Repeat([]string{"a"}, 18),
		"three data centres": slices.Repeat([]string{"a", "b", "c"}, 6),
		"small ones":         slices.Repeat([]string{"a", "b", "c", "d", "e", "f", "g", "h"}, 2),
	}
	for name, dataCentres := range fleets {
		for _, survivors := range []int{1, 2} {
			t.Run(fmt.Sprint(name, " ", survivors), func(t *testing.T) {
				t.Parallel()
				all := startFleetIn(t, dataCentres...)
				for _, m := range all[survivors:] {
					m.stop()
				}
				died := time.Now()
				for _, m := range all[:survivors] {
					assert.Eventually(t, func() bool { return m.aliveAmong(all[survivors:]) == 0 }, addressesMayNameDead-time.Since(died), 10*time.Millisecond)
					assert.Eventually(t, func() bool { return m.aliveAmong(all[:survivors]) == survivors-1 }, addressesMayNameDead, 10*time.Millisecond, "survivors are alive")
				}
			})
		}
	}
}

// TestReconnectedHostFindsAllHostsAgain cuts a host off until it takes all others for silent.
// Once the network is back, each of them must not have to wait for its turn to be probed.
func TestReconnectedHostFindsAllHostsAgain(t *testing.T) {
	const catchUpTime = 4 * time.Second
	all := startFleetIn(t, "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	all[0].conn.isolated.Store(true)
	require.Eventually(t, func() bool { return all[0].aliveAmong(all) == 0 }, 20*time.Second, 10*time.Millisecond)
	all[0].conn.isolated.Store(false)
	assert.Eventually(t, func() bool { return all[0].aliveAmong(all) == len(all)-1 }, catchUpTime, 10*time.Millisecond)
}

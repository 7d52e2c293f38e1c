package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/host"
	"fescuerill/internal/fleet/peers"
)

func TestDataCentreIsDownWhenNoHostAnswers(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	var o peers.OutageDetector
	assert.False(t, o.Confirm(at(0), "b"), "not suspected")
	o.MessageReceived(at(0), "b", "b1")
	o.MessageReceived(at(0), "b", "b2")
	assert.False(t, o.Suspect(at(100), "b"), "a message has just come")
	assert.True(t, o.Suspect(at(1000), "b"))
	assert.False(t, o.Suspect(at(1100), "b"), "its hosts are being probed")
	assert.False(t, o.Confirm(at(1300), "b"), "too soon")
	assert.True(t, o.Confirm(at(1500), "b"))
	assert.False(t, o.Confirm(at(1600), "b"), "already down")
	assert.True(t, o.HostDown("b", "b1"))
	assert.True(t, o.HostDown("b", "b2"))
	assert.False(t, o.HostDown("a", "a1"))
	assert.True(t, o.MessageReceived(at(9000), "b", "b1"))
	assert.False(t, o.HostDown("b", "b1"))
	assert.True(t, o.HostDown("b", "b2"), "no message from the host itself")
	assert.False(t, o.MessageReceived(at(9010), "b", "b2"))
	assert.False(t, o.HostDown("b", "b2"))
}

func TestFailureOfOneHostIsNoOutage(t *testing.T) {
	began := time.Unix(1_700_000_000, 0)
	var o peers.OutageDetector
	for i := range 20 {
		now := began.Add(time.Duration(i) * 2 * time.Second)
		assert.True(t, o.Suspect(now, "b"))
		o.MessageReceived(now.Add(time.Millisecond), "b", "b1")
		assert.False(t, o.Confirm(now.Add(500*time.Millisecond), "b"))
	}
}

// TestOutageOfDataCentreIsDetectedQuickly isolates one of two data centres. The hosts of the
// other must detect the outage and the recovery in less time than probes of each single host
// take.
func TestOutageOfDataCentreIsDetectedQuickly(t *testing.T) {
	const maxDelay = 5 * time.Second
	all := startFleet(t, 40)
	alive := func(m *member, dataCentre string) int {
		n := 0
		m.Each(func(h peers.Host) {
			if h.DataCentre == dataCentre && h.State == host.Alive {
				n++
			}
		})
		return n
	}
	require.Eventually(t, func() bool { return alive(all[0], "b") == 20 }, 3*time.Second, 10*time.Millisecond)
	time.Sleep(time.Second)
	for i := 1; i < len(all); i += 2 {
		all[i].conn.isolated.Store(true)
	}
	isolatedAt := time.Now()
	for i := 0; i < len(all); i += 2 {
		assert.Eventually(t, func() bool { return alive(all[i], "b") == 0 }, 6*time.Second, 10*time.Millisecond, fmt.Sprint("host ", i))
	}
	assert.Less(t, time.Since(isolatedAt), maxDelay)
	for i := 1; i < len(all); i += 2 {
		all[i].conn.isolated.Store(false)
	}
	reconnectedAt := time.Now()
	for i := 0; i < len(all); i += 2 {
		assert.Eventually(t, func() bool { return alive(all[i], "b") >= 18 }, 6*time.Second, 10*time.Millisecond, fmt.Sprint("host ", i))
	}
	assert.Less(t, time.Since(reconnectedAt), maxDelay)
}

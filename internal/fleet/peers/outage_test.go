package peers_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/host"
	"fescuerill/internal/fleet/peers"
	"fescuerill/internal/schema/fleet"
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

// TestFlappingDataCentreCausesFewProbes lets all hosts of a data centre be heard and lost again
// and again, as behind a path that carries one direction at times. What a host sends to it
// must not grow with the number of its hosts: each probe that is not answered causes several
// datagrams.
func TestFlappingDataCentreCausesFewProbes(t *testing.T) {
	const hosts, turns, turn = 40, 4, 2500 * time.Millisecond
	observer := join(t, 0, "a")
	for i := range hosts {
		observer.AddHost(peers.Host{Address: fmt.Sprint("127.0.0.1:", 1+i), DataCentre: "b", Incarnation: "1", Cores: 1})
	}
	observer.SetSizeKnown()
	from, err := net.Dial("udp", observer.address)
	require.NoError(t, err)
	before := int64(0)
	for n := range turns + 1 {
		time.Sleep(turn)
		if n == 1 {
			before = bytesSentToOtherDataCentres(observer)
		}
		for i := range hosts {
			message := fleet.Message{Kind: fleet.MessageKindNotice, From: fmt.Sprint("127.0.0.1:", 1+i), Incarnation: "1", DataCentre: "b", News: []fleet.HostUpdate{}}
			text, err := message.MarshalMsg(nil)
			require.NoError(t, err)
			_, err = from.Write(text)
			require.NoError(t, err)
		}
	}
	perTurn := (bytesSentToOtherDataCentres(observer) - before) / turns
	t.Log("bytes sent in each turn", perTurn)
	const datagramBytes = 300
	assert.Less(t, perTurn, int64(datagramBytes*hosts), "less than a datagram for each host")
}

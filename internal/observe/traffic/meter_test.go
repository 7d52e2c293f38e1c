package traffic_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/observe/traffic"
)

func counts(m *traffic.Meter) map[string]int64 {
	all := map[string]int64{}
	m.Each(func(name string, count int64) { all[name] = count })
	return all
}

func TestMeterCountsByKindAndScope(t *testing.T) {
	var m traffic.Meter
	m.Sent(traffic.Probe, traffic.ScopeOf("a", "b"), 7)
	m.Sent(traffic.Probe, traffic.ScopeOf("a", "a"), 5)
	m.Received(traffic.Part, traffic.Remote, 3)
	m.CountCall(traffic.Watch)
	want := map[string]int64{
		"bytes-sent-probe-remote": 7, "bytes-sent-probe-local": 5, "bytes-received-part-remote": 3, "store-calls-watch": 1,
	}
	assert.Equal(t, want, counts(&m))
}

func TestMeterCountsConnection(t *testing.T) {
	var m traffic.Meter
	near, far := net.Pipe()
	c := m.Conn(near, traffic.Relay, traffic.Remote)
	go func() { _, _ = io.Copy(far, far) }()
	_, err := c.Write([]byte("message"))
	assert.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 7))
	assert.NoError(t, err)
	assert.NoError(t, c.Close())
	assert.Equal(t, map[string]int64{"bytes-sent-relay-remote": 7, "bytes-received-relay-remote": 7}, counts(&m))
}

func TestNilMeterCountsNothing(t *testing.T) {
	var m *traffic.Meter
	m.Sent(traffic.Part, traffic.Local, 1)
	m.Received(traffic.Part, traffic.Local, 1)
	m.CountCall(traffic.List)
	assert.Empty(t, counts(m))
}

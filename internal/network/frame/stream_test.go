package frame_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/network/frame"
)

// TestTooLargeMessageIsNotWritten writes a message that the other end would reject, before
// one that it accepts. The stream must stay usable.
func TestTooLargeMessageIsNotWritten(t *testing.T) {
	a, b := net.Pipe()
	t.Cleanup(func() { _ = a.Close() })
	t.Cleanup(func() { _ = b.Close() })
	var traffic frame.Traffic
	writer, reader := frame.NewStream(a, &traffic, nil), frame.NewStream(b, &traffic, nil)
	assert.ErrorIs(t, writer.WriteObject(make([]byte, frame.MaxMessageSize)), frame.ErrTooLarge)
	assert.Zero(t, traffic.Sent())
	go func() { _ = writer.WriteObject("next") }()
	var got string
	assert.NoError(t, reader.ReadObject(&got))
	assert.Equal(t, "next", got)
}

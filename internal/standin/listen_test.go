package standin_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/network"
	"fescuerill/internal/standin"
)

// TestStopEndsExchangeInProgress stops a target in the middle of an exchange. The last
// byte of the request arrives apart from the others, so that a target that reads only as
// far as the JSON value goes is not notified of the closed connection and works on. In a
// bubble whose main goroutine has ended no timer fires, so that work never ends.
func TestStopEndsExchangeInProgress(t *testing.T) {
	const (
		head     = "POST /v1/exchange HTTP/1.1\r\nHost: target\r\nContent-Length: 59\r\n\r\n"
		value    = `{"exchange-id":"e","budget-us":60000000000,"parts":[]}    `
		lastByte = "\n"
	)
	synctest.Test(t, func(t *testing.T) {
		memory := &network.Memory{}
		target := standin.NewTarget(standin.TargetOptions{Slots: 1, MaxBatch: 1, ExchangesPerSlot: 1, BaseLatency: time.Hour, StartWarm: true}, &standin.Corpus{})
		server, err := standin.ListenOn(memory.Endpoint("target"), "127.0.0.1:0", target)
		require.NoError(t, err)
		c, err := memory.Endpoint("caller").Dial(context.Background(), "tcp", server.Address())
		require.NoError(t, err)
		go func() {
			for _, piece := range []string{head, value, lastByte} {
				_, _ = c.Write([]byte(piece))
			}
		}()
		synctest.Wait()
		assert.Equal(t, 1, target.Counts().Exchanges)
		server.Stop()
		require.NoError(t, c.Close())
	})
}

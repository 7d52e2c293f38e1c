package network_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fescuerill/internal/network"
)

// startServer starts a server that answers each request with the same text and keeps the
// connection open. It returns its address and the number of requests.
func startServer(t *testing.T, answer string) (string, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests.Add(1)
			_, _ = io.WriteString(c, answer)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), &requests
}

// TestInvalidStatusIsAnError guards against an answer without a valid status that is taken for
// one, or whose body is awaited until the time limit.
func TestInvalidStatusIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			address, _ := startServer(t, "HTTP/1.1 "+status+" Text\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\n{}")
			c := network.NewHTTPClient(&http.Transport{})
			c.Timeout = 5 * time.Second
			sent := time.Now()
			response, err := c.Get("http://" + address)
			if err == nil {
				_ = response.Body.Close()
			}
			require.ErrorIs(t, err, network.ErrInvalidStatus)
			assert.Less(t, time.Since(sent), time.Second)
		})
	}
}

func TestValidStatusesAreReturned(t *testing.T) {
	for _, status := range []int{200, 204, 299, 304, 404, 410, 500, 503, 599} {
		address, _ := startServer(t, fmt.Sprintf("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 %d Text\r\nContent-Length: 0\r\n\r\n", status))
		response, err := network.NewHTTPClient(&http.Transport{}).Get("http://" + address)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, status, response.StatusCode)
	}
}

// TestRedirectionsAreNotFollowed guards against a call, perhaps one that may run only once, that
// is sent to another server because the one that it was meant for says so.
func TestRedirectionsAreNotFollowed(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			elsewhere, requests := startServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
			address, _ := startServer(t, fmt.Sprintf("HTTP/1.1 %d Text\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, elsewhere))
			r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address, strings.NewReader("body"))
			require.NoError(t, err)
			response, err := network.NewHTTPClient(&http.Transport{}).Do(r)
			require.NoError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, status, response.StatusCode)
			assert.Zero(t, requests.Load())
		}
	}
}

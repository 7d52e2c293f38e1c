package exchange_test

import (
	"bytes"
	"context"
	"net"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// scriptedConn is a connection that delivers bytes and ends, whatever is written to it.
type scriptedConn struct {
	net.Conn
	*bytes.Reader
}

func (c scriptedConn) Read(b []byte) (int, error)  { return c.Reader.Read(b) }
func (c scriptedConn) Write(b []byte) (int, error) { return len(b), nil }
func (scriptedConn) Close() error                  { return nil }
func (scriptedConn) SetDeadline(time.Time) error   { return nil }

// foldedLine matches the line end before a header line that continues the one before, with the
// white space around it.
var foldedLine = regexp.MustCompile("[ \t]*\r?\n[ \t]+")

// unfold returns the text with continued header lines joined by a space each, as RFC 9112, section
// 5.2, has it done by a gateway before a field value is interpreted.
func unfold(text []byte) string { return string(foldedLine.ReplaceAll(text, []byte(" "))) }

// FuzzAnswer sends a request to a target that answers with any bytes. Only a complete answer
// to the request may be good.
func FuzzAnswer(f *testing.F) {
	for _, text := range []string{
		goodAnswer, mismatchedAnswer + goodAnswer, "HTTP/1.1 103 Early\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\nStamp: s\r\nContent-Length: 4\r\n",
		"HTTP/1.1 200 OK\r\nId: a\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "HTTP/1.1 503 Busy\r\nRetry-After: 1e999\r\n\r\n",
		"HTTP/1.1 200\nStAmp:0\n \n\n", "HTTP/1.1 200 OK\r\nId: a\r\nStamp: s \r\n\t t\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var p exchange.Pool
		dial := func(context.Context, string) (net.Conn, error) {
			return scriptedConn{Reader: bytes.NewReader(text)}, nil
		}
		p.Reset(dial, testProtocol{}, func() {}, nil)
		r := p.Do(t.Context(), exchange.Target{ID: "t", Address: "10.0.0.1:1"}, newRequest("a"), oneSecond)
		if r.Outcome == search.Good {
			assert.NotEmpty(t, r.MAC)
			assert.Contains(t, unfold(text), r.Header.Get("Stamp"))
			assert.LessOrEqual(t, len(r.Body), len(text))
		}
	})
}

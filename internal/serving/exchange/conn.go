package exchange

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// errMismatchedAnswers is returned when a connection brings answers to other requests
// only.
var errMismatchedAnswers = errors.New("answers to other requests")

const (
	// maxIdleTime is how long a connection is kept that is not used.
	maxIdleTime = 20 * time.Second
	// idleMargin is how much earlier than the target this host closes an idle
	// connection.
	idleMargin = time.Second
)

// conn is a kept connection to a target.
type conn struct {
	raw         net.Conn
	reader      *bufio.Reader
	writeBuffer bytes.Buffer
	lastUsed    time.Time
	idleTimeout time.Duration
	// writeDone delivers the end of a long write.
	writeDone chan error
	// noReuse says that no request may follow on the connection.
	noReuse bool
}

func newConn(raw net.Conn) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, 2048), idleTimeout: maxIdleTime}
}

// updateReuse notes for how long the target keeps the connection and whether it may be
// used again.
func (c *conn) updateReuse(h http.Header) {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(v), "timeout=")
		if seconds, err := strconv.Atoi(text); ok && err == nil {
			c.idleTimeout = min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	if c.reader.Buffered() > 0 || !c.writeCompleted() {
		c.noReuse = true
	}
}

// usable reports whether the connection can take a request: it has not been idle
// for too long, is open and has brought nothing that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	return !c.noReuse && now.Sub(c.lastUsed) < c.idleTimeout && c.reader.Buffered() == 0 && openWithoutInput(c.raw)
}

// openWithoutInput reports whether the connection is open with nothing to read.
func openWithoutInput(raw net.Conn) bool {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	var one [1]byte
	err = rc.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = errors.Is(e, syscall.EAGAIN)
	})
	return err == nil && nothing
}

func writeLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}

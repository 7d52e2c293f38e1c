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

// errMismatchedAnswers is returned when a connection delivers only answers to other
// requests.
var errMismatchedAnswers = errors.New("connection delivered answers to other requests")

const (
	// maxIdleTime is how long an idle connection is kept open.
	maxIdleTime = 20 * time.Second
	// idleMargin is how much earlier this host closes an idle connection than the
	// target does.
	idleMargin = time.Second
)

// conn is a persistent connection to a target.
type conn struct {
	// number distinguishes the connections of a pool.
	number      uint64
	raw         net.Conn
	source      *answerReader
	reader      *bufio.Reader
	writeBuffer bytes.Buffer
	lastUsed    time.Time
	idleTimeout time.Duration
	// writeDone delivers the result of a background write; nil if none is pending.
	writeDone chan error
	// sendsIDs is set if an answer on the connection had a request ID.
	sendsIDs bool
	// noReuse is set if no further request may be sent on the connection.
	noReuse bool
}

// newConn returns a connection that calls onRead with the number of bytes of each read. The
// memory of the answers is taken from an account.
func newConn(number uint64, raw net.Conn, a *account, onRead func(n int)) *conn {
	source := &answerReader{source: raw, onRead: onRead, reservation: reservation{account: a}}
	return &conn{number: number, raw: raw, source: source, reader: bufio.NewReaderSize(source, 2048), idleTimeout: maxIdleTime}
}

// updateReuse sets the idle timeout from the Keep-Alive field of an answer, and noReuse
// if the connection has unread input or an unfinished write.
func (c *conn) updateReuse(h http.Header) {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(v), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			c.idleTimeout = min(maxIdleTime, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	if c.reader.Buffered() > 0 || !c.writeCompleted() {
		c.noReuse = true
	}
}

// usable reports whether a request can be sent on the connection: it is open, has not
// been idle for too long and has received no unsolicited data.
func (c *conn) usable(now time.Time) bool {
	return !c.noReuse && now.Sub(c.lastUsed) < c.idleTimeout && c.reader.Buffered() == 0 && openWithoutInput(c.raw)
}

// openWithoutInput reports whether the connection is open and has no data to read. It
// peeks at the socket without blocking.
func openWithoutInput(raw net.Conn) bool {
	s, ok := raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buf [1]byte
	err = rc.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(e, syscall.EAGAIN)
	})
	return err == nil && empty
}

// writeLength writes the Content-Length field.
func writeLength(b *bytes.Buffer, n int) {
	b.WriteString("Content-Length: ")
	b.WriteString(strconv.Itoa(n))
	b.WriteString("\r\n")
}

package exchange

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/serving/search"
)

// Target is where a request is sent.
type Target struct {
	ID      string
	Address string
}

// Ask is a request of a caller on its way to targets. It does not change once
// it is made.
type Ask struct {
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Once says that the request may run once only, so that it cannot be sent again
	// when the target has dropped the connection.
	Once bool

	headOnce sync.Once
	head     []byte
}

// requestHead returns the request line and the header fields that are the same for all
// targets: those that are not among the given ones.
func (a *Ask) requestHead(own http.Header) []byte {
	a.headOnce.Do(func() {
		var b bytes.Buffer
		b.WriteString(a.Method)
		b.WriteByte(' ')
		b.WriteString(a.URI)
		b.WriteString(" HTTP/1.1\r\nHost: ")
		b.WriteString(a.Host)
		b.WriteString("\r\n")
		except := make(map[string]bool, len(own))
		for name := range own {
			except[name] = true
		}
		_ = a.Header.WriteSubset(&b, except) // A buffer takes all.
		a.head = b.Bytes()
	})
	return a.head
}

// Reply is how a send ended.
type Reply struct {
	Outcome search.Outcome
	// Reason names the cause in kebab case when the outcome is not good.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Stamp is the target's proof of its answer.
	Stamp string
	// Shed says that the target refused for want of room.
	Shed bool
	// Moved says that another target has the address.
	Moved bool
	// Local says that the send failed on this host and tells nothing of the
	// target.
	Local bool
	// Silent says that the target did not answer in time.
	Silent bool
	// Err is what went wrong with the connection.
	Err error
}

// Dialect knows the names that the target expects.
type Dialect interface {
	// Prepare sets the header fields of a request that are for the target alone. They
	// replace those of the caller, and have the same names each time.
	Prepare(h http.Header, a *Ask, t Target, left time.Duration)
	// Interpret takes what the header of an answer says and sets the outcome.
	Interpret(h http.Header, r *Reply)
	// Answers returns the ID of the request that an answer belongs to, or "".
	Answers(h http.Header) string
}

// Reasons of outcomes.
const (
	reasonNoConnection     = "no-connection"
	reasonConnectRefused   = "connect-refused"
	reasonConnectReset     = "connect-reset"
	reasonConnectTimeout   = "connect-timeout"
	reasonWriteFailed      = "write-failed"
	reasonConnectionBroken = "connection-broken"
	reasonSilent           = "silent"
	reasonBadFormat        = "bad-format"
	reasonTruncated        = "truncated"
	reasonCancelled        = "cancelled"
	reasonAnswerTooLong    = "answer-too-long"
	reasonCrossedAnswers   = "crossed-answers"
)

const (
	// maxAnswerBytes is the length in bytes above which an answer is not taken.
	maxAnswerBytes = 8 << 20
	// maxSyncBodyBytes is the length in bytes up to which a body is written before
	// the answer is read.
	maxSyncBodyBytes = 8 << 10
	// maxMismatchedAnswers is the number of answers to other requests that are passed over
	// before a connection is given up.
	maxMismatchedAnswers = 2
)

// errAnswerTooLong is returned for an answer above the bound.
var errAnswerTooLong = errors.New("answer too long")

// write sends the request over the connection.
func (c *conn) write(a *Ask, t Target, d Dialect, left time.Duration) error {
	own := http.Header{}
	d.Prepare(own, a, t, left)
	b := &c.writeBuffer
	b.Reset()
	b.Write(a.requestHead(own))
	if err := own.Write(b); err != nil {
		return err
	}
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut {
		writeLength(b, len(a.Body))
	}
	b.WriteString("\r\n")
	b.Write(a.Body)
	if len(a.Body) <= maxSyncBodyBytes {
		_, err := c.raw.Write(b.Bytes())
		return err
	}
	c.writeDone = make(chan error, 1)
	go func() {
		_, err := c.raw.Write(b.Bytes())
		c.writeDone <- err
	}()
	return nil
}

// writeCompleted reports whether the whole request has been written. A target may
// answer before it has read a long body.
func (c *conn) writeCompleted() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case err := <-c.writeDone:
		c.writeDone = nil
		return err == nil
	default:
		return false
	}
}

// read takes the answer to the request off the connection, with its status,
// header and body. Answers to other requests are passed over.
func (c *conn) read(a *Ask, d Dialect) (Reply, error) {
	request := &http.Request{Method: a.Method}
	for stray := 0; ; {
		r, err := http.ReadResponse(c.reader, request)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			// No whole header came; a body that is cut short fails below.
			return Reply{}, io.EOF
		}
		if err != nil {
			return Reply{}, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(r)
		if err != nil {
			return Reply{}, err
		}
		if r.Close {
			c.noReuse = true
		}
		if id := d.Answers(r.Header); id == "" || id == a.ID {
			return Reply{Status: r.StatusCode, Header: r.Header, Body: body}, nil
		}
		c.noReuse = true
		if stray++; stray > maxMismatchedAnswers || r.Close {
			return Reply{}, errMismatchedAnswers
		}
	}
}

func readBody(r *http.Response) ([]byte, error) {
	defer r.Body.Close()
	if r.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(r.Body, maxAnswerBytes+1))
	if err == nil && n > maxAnswerBytes {
		err = errAnswerTooLong
	}
	return b.Bytes(), err
}

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

// Request is a request of a caller on its way to targets. It does not change once
// it is made.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent says that the request may run once only, so that it cannot be sent again
	// when the target has dropped the connection.
	NonIdempotent bool

	render sync.Once
	common []byte
}

// start returns the request line and the header fields that are the same for all
// targets: those that are not among the given ones.
func (a *Request) start(own http.Header) []byte {
	a.render.Do(func() {
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
		a.common = b.Bytes()
	})
	return a.common
}

// Reply is how a send ended.
type Reply struct {
	Outcome search.Outcome
	// Reason names the cause in kebab case when the outcome is not good.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// MAC is the target's proof of its answer.
	MAC string
	// Shed says that the target refused for want of room.
	Shed bool
	// TargetMoved says that another target has the address.
	TargetMoved bool
	// LocalFailure says that the send failed on this host and tells nothing of the
	// target.
	LocalFailure bool
	// TimedOut says that the target did not answer in time.
	TimedOut bool
	// Err is what went wrong with the connection.
	Err error
}

// Protocol knows the names that the target expects.
type Protocol interface {
	// SetRequestHeader sets the header fields of a request that are for the target alone. They
	// replace those of the caller, and have the same names each time.
	SetRequestHeader(h http.Header, a *Request, t Target, left time.Duration)
	// ParseReplyHeader takes what the header of an answer says and sets the outcome.
	ParseReplyHeader(h http.Header, r *Reply)
	// ReplyRequestID returns the ID of the request that an answer belongs to, or "".
	ReplyRequestID(h http.Header) string
}

// Reasons of outcomes.
const (
	reasonNoConnection = "no-connection"
	reasonRefused      = "connect-refused"
	reasonReset        = "connect-reset"
	reasonConnect      = "connect-timeout"
	reasonWrite        = "write-failed"
	reasonBroken       = "connection-broken"
	reasonSilent       = "silent"
	reasonFormat       = "bad-format"
	reasonTruncated    = "truncated"
	reasonCancelled    = "cancelled"
	reasonTooLong      = "answer-too-long"
	reasonCrossed      = "crossed-answers"
)

const (
	// answerMost is the length in bytes above which an answer is not taken.
	answerMost = 8 << 20
	// promptBody is the length in bytes up to which a body is written before
	// the answer is read.
	promptBody = 8 << 10
	// strayMost is the number of answers to other requests that are passed over
	// before a connection is given up.
	strayMost = 2
)

// errTooLong is returned for an answer above the bound.
var errTooLong = errors.New("answer too long")

// write sends the request over the connection.
func (c *conn) write(a *Request, t Target, d Protocol, left time.Duration) error {
	own := http.Header{}
	d.SetRequestHeader(own, a, t, left)
	b := &c.out
	b.Reset()
	b.Write(a.start(own))
	if err := own.Write(b); err != nil {
		return err
	}
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut {
		writeLength(b, len(a.Body))
	}
	b.WriteString("\r\n")
	b.Write(a.Body)
	if len(a.Body) <= promptBody {
		_, err := c.raw.Write(b.Bytes())
		return err
	}
	c.writing = make(chan error, 1)
	go func() {
		_, err := c.raw.Write(b.Bytes())
		c.writing <- err
	}()
	return nil
}

// written reports whether the whole request has been written. A target may
// answer before it has read a long body.
func (c *conn) written() bool {
	if c.writing == nil {
		return true
	}
	select {
	case err := <-c.writing:
		c.writing = nil
		return err == nil
	default:
		return false
	}
}

// read takes the answer to the request off the connection, with its status,
// header and body. Answers to other requests are passed over.
func (c *conn) read(a *Request, d Protocol) (Reply, error) {
	request := &http.Request{Method: a.Method}
	for stray := 0; ; {
		r, err := http.ReadResponse(c.in, request)
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
			c.last = true
		}
		if id := d.ReplyRequestID(r.Header); id == "" || id == a.ID {
			return Reply{Status: r.StatusCode, Header: r.Header, Body: body}, nil
		}
		c.last = true
		if stray++; stray > strayMost || r.Close {
			return Reply{}, errCrossed
		}
	}
}

func readBody(r *http.Response) ([]byte, error) {
	defer r.Body.Close()
	if r.ContentLength > answerMost {
		return nil, errTooLong
	}
	if r.ContentLength >= 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(r.Body, answerMost+1))
	if err == nil && n > answerMost {
		err = errTooLong
	}
	return b.Bytes(), err
}

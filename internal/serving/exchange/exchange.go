package exchange

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/serving/search"
)

// Target is the back end that a request is sent to.
type Target struct {
	ID      string
	Address string
	// Incarnation distinguishes the starts of the target under the same ID.
	Incarnation int64
	// Remote reports that the target is in another data centre.
	Remote bool
}

// scope returns where the target is.
func (t Target) scope() traffic.Scope {
	if t.Remote {
		return traffic.Remote
	}
	return traffic.Local
}

// Request is a request of a caller that is forwarded to targets. It must not be modified
// after its first use. All attempts that a host makes with an ID share one Request, which
// records the connections that have carried it.
type Request struct {
	ID     string
	Method string
	// URI holds the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent is set if the request must not run more than once, so that it cannot be
	// sent again if the target drops the connection.
	NonIdempotent bool
	// IsPart is set if the answers are parts of the answer to a search. Of those only the
	// bodies of the good ones are kept, and no header.
	IsPart bool

	headOnce sync.Once
	head     []byte

	mu sync.Mutex
	// sentOn holds the numbers of the connections on which the request was sent.
	sentOn map[uint64]struct{}
	// reservations are for the answers that are kept, and ended is set once none is.
	reservations []reservation
	ended        bool
}

// End releases the memory of the answers. It is called when they are not used any more; those
// that arrive later have no body.
func (req *Request) End() {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.ended = true
	for _, v := range req.reservations {
		v.reduceTo(0)
	}
	req.reservations = nil
}

// keep takes over the memory of a reply until the request ends, and drops what is not needed
// of the reply.
func (req *Request) keep(r *Reply, v *reservation) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.ended || !req.needs(r) {
		r.Header, r.Body = nil, nil
		v.reduceTo(0)
		return
	}
	if req.IsPart {
		r.Header = nil
		v.reduceTo(cap(r.Body))
	}
	req.reservations = append(req.reservations, *v)
	*v = reservation{account: v.account}
}

// needs reports whether the header or the body of a reply may be used.
func (req *Request) needs(r *Reply) bool {
	return r.Outcome == search.Good || r.Outcome == search.Failed && !req.IsPart
}

// recordSentOn records that the request is about to be sent on a connection.
func (req *Request) recordSentOn(c *conn) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.sentOn == nil {
		req.sentOn = map[uint64]struct{}{}
	}
	req.sentOn[c.number] = struct{}{}
}

// wasSentOn reports whether the request was sent on a connection. It must not be sent there
// again: a target may send a second copy of an answer late, and the ID of the request does
// not tell the copy from the answer to a later attempt.
func (req *Request) wasSentOn(c *conn) bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	_, ok := req.sentOn[c.number]
	return ok
}

// requestHead returns the request line and the caller's header fields, without those
// that targetFields replaces. The first call renders it; it is the same for all targets.
func (req *Request) requestHead(targetFields http.Header) []byte {
	req.headOnce.Do(func() {
		var b bytes.Buffer
		b.WriteString(req.Method)
		b.WriteByte(' ')
		b.WriteString(req.URI)
		b.WriteString(" HTTP/1.1\r\nHost: ")
		b.WriteString(req.Host)
		b.WriteString("\r\n")
		exclude := make(map[string]bool, len(targetFields))
		for name := range targetFields {
			exclude[name] = true
		}
		_ = req.Header.WriteSubset(&b, exclude) // Writing to a bytes.Buffer does not fail.
		req.head = b.Bytes()
	})
	return req.head
}

// Reply is the result of sending a request to a target.
type Reply struct {
	Outcome search.Outcome
	// Reason names the cause in kebab case if the outcome is not search.Good.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// MAC is the message authentication code of the answer, computed by the target.
	MAC string
	// Shed is set if the target refused the request because it is overloaded.
	Shed bool
	// TargetMoved is set if the address now belongs to another target.
	TargetMoved bool
	// LocalFailure is set if the request failed on this host, so that the failure says
	// nothing about the state of the target.
	LocalFailure bool
	// TimedOut is set if no answer was received in time.
	TimedOut bool
	// Statement is what the target says of itself in the answer.
	Statement Statement
	// Conn numbers the connection of this host on which the request was sent, from 1; 0 if
	// there was none, or if another host sent the request.
	Conn uint64
	// Err is the connection error, if there was one.
	Err error
}

// ConnectionRefused reports whether the target accepted no connection: no process listens at its
// address.
func (r *Reply) ConnectionRefused() bool { return r.Reason == reasonConnectRefused }

// Statement is what a target says of itself in an answer. The zero value says nothing.
type Statement struct {
	// Incarnation is the one of the target to which the request was sent.
	Incarnation int64
	// Leaving is set if the target is leaving and accepts no new requests.
	Leaving bool
	// ClosedFor is the time for which the target wants no requests from this host; 0 if it
	// is open.
	ClosedFor time.Duration
}

// Limits reports whether the target wants no requests now.
func (s Statement) Limits() bool { return s.Leaving || s.ClosedFor > 0 }

// Protocol defines the header fields that are exchanged with targets.
type Protocol interface {
	// SetRequestHeader sets the header fields of a request that are specific to the target.
	// They replace those of the caller and must have the same names on every call.
	SetRequestHeader(h http.Header, req *Request, t Target, left time.Duration)
	// ParseReplyHeader reads the header of an answer and sets the outcome of the reply.
	ParseReplyHeader(h http.Header, r *Reply)
	// ReplyRequestID returns the ID of the request that an answer belongs to, or "" if the
	// header has none.
	ReplyRequestID(h http.Header) string
}

// Values of Reply.Reason.
const (
	reasonTargetBusy       = "target-busy"
	reasonTargetClosed     = "target-closed"
	reasonConnectRefused   = "connect-refused"
	reasonConnectReset     = "connect-reset"
	reasonConnectTimeout   = "connect-timeout"
	reasonWriteFailed      = "write-failed"
	reasonConnectionBroken = "connection-broken"
	reasonSilent           = "silent"
	reasonBadFormat        = "bad-format"
	reasonInvalidStatus    = "invalid-status"
	reasonTruncated        = "truncated"
	reasonCancelled        = "cancelled"
	reasonAnswerTooLong    = "answer-too-long"
	reasonCrossedAnswers   = "crossed-answers"
	reasonNoRoom           = "no-room"
)

const (
	// maxSyncBodyBytes is the length of the longest body that is written before the
	// answer is read. Longer bodies are written while the answer is awaited.
	maxSyncBodyBytes = 8 << 10
)

// write sends the request over the connection. A body longer than maxSyncBodyBytes is
// written in the background.
func (c *conn) write(req *Request, t Target, p Protocol, left time.Duration) error {
	targetFields := http.Header{}
	p.SetRequestHeader(targetFields, req, t, left)
	b := &c.writeBuffer
	b.Reset()
	b.Write(req.requestHead(targetFields))
	if err := targetFields.Write(b); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		writeLength(b, len(req.Body))
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	if len(req.Body) <= maxSyncBodyBytes {
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

// writeCompleted reports whether the request has been written completely. A target may
// answer before it has read all of a long body.
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

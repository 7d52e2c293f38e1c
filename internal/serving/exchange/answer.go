package exchange

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"fescuerill/internal/network"
)

const (
	// maxAnswerBytes is the length of the longest body that is accepted in an answer.
	maxAnswerBytes = 8 << 20
	// maxReceivedBodyBytes is the same with the sizes of its chunks, as it was sent. A body in
	// chunks of a few bytes costs much more time than its length shows.
	maxReceivedBodyBytes = maxAnswerBytes + maxAnswerBytes/8
	// maxHeadBytes is the length of the longest head that is accepted: the status line and
	// the header of an answer, with all interim answers before it.
	maxHeadBytes = 64 << 10
	// maxPreallocBytes is the length up to which a buffer for a body is allocated before
	// the body has arrived, because the length is stated by the target.
	maxPreallocBytes = 64 << 10
	// minBodyBuffer is the first size of the buffer for a longer body, or one of unknown
	// length.
	minBodyBuffer = 512
	// maxMismatchedAnswers is the number of answers to other requests that are skipped
	// before the read fails.
	maxMismatchedAnswers = 2
)

// errAnswerTooLong is returned for a head longer than maxHeadBytes or a body longer than
// maxAnswerBytes, or than maxReceivedBodyBytes as it was sent.
var errAnswerTooLong = errors.New("answer exceeds the size limit")

// errOtherProtocol is returned for an answer that is not of HTTP/1.
var errOtherProtocol = errors.New("answer is not of HTTP/1")

// answerReader reads from a connection and fails with errAnswerTooLong after the bytes that
// are allowed, and with errNoRoom if there is no memory for a head. A target in trouble may
// send bytes without end.
type answerReader struct {
	source io.Reader
	onRead func(n int)
	left   int
	// inHead is set while a head is read, for which memory is reserved as it arrives.
	inHead bool
	// reservation is for the answer that is read.
	reservation reservation
}

// beginHead allows maxHeadBytes from now on.
func (a *answerReader) beginHead() { a.left, a.inHead = maxHeadBytes, true }

// beginBody allows maxReceivedBodyBytes from now on.
func (a *answerReader) beginBody() { a.left, a.inHead = maxReceivedBodyBytes, false }

// Read implements io.Reader.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := a.source.Read(b[:min(len(b), a.left)])
	a.left -= n
	a.onRead(n)
	if a.inHead {
		if noRoom := a.reservation.add(n * headCost); noRoom != nil {
			return 0, noRoom
		}
	}
	return n, err
}

// read reads the answer to the request: its status, header and body. It skips answers
// to other requests; the connection is not reused after one. Its memory is reserved in
// c.source.reservation, also if the read fails.
func (c *conn) read(req *Request, p Protocol) (Reply, error) {
	request := &http.Request{Method: req.Method}
	c.source.beginHead()
	for mismatched := 0; ; {
		r, err := http.ReadResponse(c.reader, request)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			// The header is incomplete; a truncated body fails in readBody.
			return Reply{}, io.EOF
		}
		if err != nil {
			return Reply{}, err
		}
		if r.ProtoMajor != 1 {
			return Reply{}, errOtherProtocol
		}
		if isInterim(r.StatusCode) {
			continue
		}
		if !network.IsFinalStatus(r.StatusCode) {
			return Reply{}, network.ErrInvalidStatus
		}
		c.source.beginBody()
		body, err := readBody(r, &c.source.reservation)
		if err != nil {
			return Reply{}, err
		}
		if r.Close {
			c.noReuse = true
		}
		if c.belongsTo(req, p.ReplyRequestID(r.Header)) {
			return Reply{Status: r.StatusCode, Header: r.Header, Body: body}, nil
		}
		c.noReuse = true
		if mismatched++; mismatched > maxMismatchedAnswers || r.Close {
			return Reply{}, errMismatchedAnswers
		}
		c.source.reservation.reduceTo(0)
		c.source.beginHead()
	}
}

// isInterim reports whether a status is that of an interim answer, which another answer to the
// same request follows.
func isInterim(status int) bool {
	return http.StatusContinue <= status && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// belongsTo reports whether an answer with the given request ID belongs to the request.
// A target that has sent IDs sends one with each answer, so an answer without one is not
// to be trusted.
func (c *conn) belongsTo(req *Request, id string) bool {
	if id == "" {
		return !c.sendsIDs
	}
	c.sendsIDs = true
	return id == req.ID
}

// readBody returns the body of an answer, or errAnswerTooLong or errNoRoom. It closes only a
// body that was read to its end: closing reads the rest of a body that is too long, which may
// never end.
func readBody(r *http.Response, v *reservation) ([]byte, error) {
	body, err := readToEnd(r, v)
	if err != nil {
		return nil, err
	}
	return body, r.Body.Close()
}

func readToEnd(r *http.Response, v *reservation) ([]byte, error) {
	if r.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	if 0 <= r.ContentLength && r.ContentLength <= maxPreallocBytes {
		body, err := v.enlarge(nil, int(r.ContentLength))
		if err != nil {
			return nil, err
		}
		body = body[:r.ContentLength]
		_, err = io.ReadFull(r.Body, body)
		return body, err
	}
	return readGrowing(r.Body, v)
}

// readGrowing reads a body into a buffer that grows with it.
func readGrowing(r io.Reader, v *reservation) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if len(body) > maxAnswerBytes {
				return nil, errAnswerTooLong
			}
			larger, err := v.enlarge(body, nextBufferSize(cap(body)))
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBufferSize returns the size of the buffer for a body that has filled one of n bytes. The
// largest has a byte more than is accepted.
func nextBufferSize(n int) int {
	if 2*n >= maxAnswerBytes {
		return maxAnswerBytes + 1
	}
	return max(minBodyBuffer, 2*n)
}

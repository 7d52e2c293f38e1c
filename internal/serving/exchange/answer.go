package exchange

import (
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
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
	// maxMismatchedAnswers is the number of answers to other requests that are skipped
	// before the read fails.
	maxMismatchedAnswers = 2
)

// errAnswerTooLong is returned for a head longer than maxHeadBytes or a body longer than
// maxAnswerBytes, or than maxReceivedBodyBytes as it was sent.
var errAnswerTooLong = errors.New("answer exceeds the size limit")

// answerReader reads from a connection and fails with errAnswerTooLong after the bytes that
// are allowed. A target in trouble may send bytes without end.
type answerReader struct {
	source io.Reader
	onRead func(n int)
	left   int
}

// allow sets the number of bytes that may be read from now on.
func (a *answerReader) allow(n int) { a.left = n }

// Read implements io.Reader.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.left <= 0 {
		return 0, errAnswerTooLong
	}
	n, err := a.source.Read(b[:min(len(b), a.left)])
	a.left -= n
	a.onRead(n)
	return n, err
}

// read reads the answer to the request: its status, header and body. It skips answers
// to other requests; the connection is not reused after one.
func (c *conn) read(req *Request, p Protocol) (Reply, error) {
	request := &http.Request{Method: req.Method}
	c.source.allow(maxHeadBytes)
	for mismatched := 0; ; {
		r, err := http.ReadResponse(c.reader, request)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			// The header is incomplete; a truncated body fails in readBody.
			return Reply{}, io.EOF
		}
		if err != nil {
			return Reply{}, err
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		c.source.allow(maxReceivedBodyBytes)
		body, err := readBody(r)
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
		c.source.allow(maxHeadBytes)
	}
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

// readBody returns the body of an answer, or errAnswerTooLong. It closes only a body that
// was read to its end: closing reads the rest of a body that is too long, which may never
// end.
func readBody(r *http.Response) ([]byte, error) {
	body, err := readToEnd(r)
	if err != nil {
		return nil, err
	}
	return body, r.Body.Close()
}

func readToEnd(r *http.Response) ([]byte, error) {
	if r.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	if 0 <= r.ContentLength && r.ContentLength <= maxPreallocBytes {
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

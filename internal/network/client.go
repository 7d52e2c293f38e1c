package network

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalidStatus is returned for an answer with a status that no answer to a request has. Its
// other fields say nothing either.
var ErrInvalidStatus = errors.New("answer has an invalid status")

// Statuses of final answers.
const (
	firstFinalStatus = 200
	lastFinalStatus  = 599
)

// IsFinalStatus reports whether a status may be that of a final answer, one that no other
// answer to the request follows. The agreement to switch protocols is none: no request asks for
// it.
func IsFinalStatus(status int) bool {
	return firstFinalStatus <= status && status <= lastFinalStatus
}

// NewHTTPClient returns a client for calls to one address. It fails with ErrInvalidStatus if an
// answer has no valid status, and returns redirections like other answers.
func NewHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport: statusChecker{t},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// statusChecker is a transport that takes answers without a valid status for none.
type statusChecker struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (s statusChecker) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := s.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if !IsFinalStatus(response.StatusCode) {
		_ = response.Body.Close()
		return nil, ErrInvalidStatus
	}
	return response, nil
}

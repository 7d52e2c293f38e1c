package gateway

import (
	"net/http"
	"time"
)

// Request is a request of a caller. Its ID is its own; a caller that tries again
// uses another.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as they were sent, Path the path alone.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is when the request was read.
	Arrived time.Time
	// Timeout is how long the caller waits from then; 0 if it did not say.
	Timeout time.Duration
	// RoundTrip is the time to the caller and back; 0 if it is not known.
	RoundTrip time.Duration
}

// Kind is what became of a request.
type Kind int

// Kinds of answers.
const (
	// Served is the answer of one target, unchanged.
	Served Kind = iota
	// Merged is an answer made of the parts of several shards.
	Merged
	// Unrouted means that no route leads anywhere.
	Unrouted
	// Refused means that the request has not run and will not run.
	Refused
	// Failed means that the request failed and may have run.
	Failed
	// Expired means that the time of the request has passed; it may have run.
	Expired
	// CallerLeft means that the caller has gone.
	CallerLeft
)

var kindNames = [...]string{"served", "merged", "unrouted", "refused", "broken", "expired", "left"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Answer is what a caller gets.
type Answer struct {
	Kind   Kind
	Status int
	Header http.Header
	Body   []byte
	// PartMACs prove the parts of a merged answer, and Missing is the number of
	// shards left out of it.
	PartMACs      []string
	MissingShards int
	// RetryAfter is when the caller of a refused request is to come back.
	RetryAfter time.Duration
	// Reason names why there is no answer, in kebab case.
	Reason string
}

package gateway

import (
	"net/http"
	"time"

	"fescuerill/internal/serving/exchange"
)

// Request is a request of a caller. Its ID is unique; a caller that retries uses a new
// one.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as sent by the caller, Path the path alone.
	URI    string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Arrived is the time at which the request was read.
	Arrived time.Time
	// Timeout is how long the caller waits from Arrived; 0 if it is not known.
	Timeout time.Duration
	// RoundTrip is the round-trip time to the caller; 0 if it is not known.
	RoundTrip time.Duration
}

// Kind is the kind of an answer.
type Kind int

// Kinds of answers.
const (
	// Served is the answer of one target, unchanged.
	Served Kind = iota
	// Merged is an answer merged from the parts of several shards.
	Merged
	// Unrouted means that no route matches the request.
	Unrouted
	// Refused means that the request has not run and will not run.
	Refused
	// Failed means that the request failed and may have run.
	Failed
	// Expired means that the deadline of the request has passed; it may have run.
	Expired
	// CallerLeft means that the caller has disconnected.
	CallerLeft
)

var kindNames = [...]string{"served", "merged", "unrouted", "refused", "broken", "expired", "left"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Answer is the answer to a caller.
type Answer struct {
	Kind   Kind
	Status int
	Header http.Header
	Body   []byte
	// PartMACs are the message authentication codes of the parts of a merged answer, and
	// MissingShards is the number of shards that it does not cover.
	PartMACs      []string
	MissingShards int
	// RetryAfter is the time after which the caller of a refused request should retry.
	RetryAfter time.Duration
	// Reason is the reason why there is no answer, in kebab case.
	Reason string

	// outgoing is the request to the targets if their answer is passed on; else nil.
	outgoing *exchange.Request
}

// Release releases the memory of the answer. The caller must call it when it has sent the
// answer, and not use the answer afterwards.
func (a *Answer) Release() {
	if a.outgoing != nil {
		a.outgoing.End()
	}
}

package relay

import (
	"time"

	"fescuerill/internal/network/frame"
	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// Kinds of messages between hosts.
const (
	kindRequest frame.Kind = 'q'
	kindResults frame.Kind = 's'
	kindCancel  frame.Kind = 'c'
)

// Request is a request to a relay host to send the parts of a search to targets.
type Request struct {
	// CallerRequest is the request that is sent to each target.
	CallerRequest *exchange.Request
	// Targets holds the target ID of each part.
	Targets []string
	// FlushTime is when the results that have arrived are sent back in one message.
	FlushTime time.Time
	// SoftDeadline is the time by which parts that are sent before it must be answered;
	// Deadline applies to later parts, or to all parts if SoftDeadline is zero.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxRecords is the maximum number of merged records to return.
	MaxRecords int
}

// PartResult is the result of a part.
type PartResult struct {
	// Index is the index of the part in the targets of the request.
	Index int
	Reply exchange.Reply
	// Elapsed is the time from the start of the send to its end.
	Elapsed time.Duration
}

// Results holds the results of some of the parts of a request.
type Results struct {
	Parts []PartResult
	// TopRecords holds the merged highest records of the successful parts.
	TopRecords []byte
}

// wireOutcomes maps a search.Outcome to its name in messages.
var wireOutcomes = []wire.PartResultOutcome{
	search.Good: wire.PartResultOutcomeGood, search.NotSent: wire.PartResultOutcomeNotSent, search.NotRun: wire.PartResultOutcomeNotRun,
	search.Failed: wire.PartResultOutcomeFailed, search.Unknown: wire.PartResultOutcomeUnknown,
}

// decodeOutcome returns search.Unknown for a name that it does not know.
func decodeOutcome(o wire.PartResultOutcome) search.Outcome {
	for i, name := range wireOutcomes {
		if name == o {
			return search.Outcome(i)
		}
	}
	return search.Unknown
}

// encodeRequest converts a request to a message. Times are relative to now.
func encodeRequest(now time.Time, number int, req Request) wire.Request {
	m := wire.Request{
		Number: number, ID: req.CallerRequest.ID, Method: req.CallerRequest.Method, Uri: req.CallerRequest.URI, Host: req.CallerRequest.Host,
		Header: wire.RequestHeader(req.CallerRequest.Header), Targets: req.Targets, Top: req.MaxRecords,
		FlushUs: int(req.FlushTime.Sub(now).Microseconds()), EndUs: int(req.Deadline.Sub(now).Microseconds()),
	}
	if !req.SoftDeadline.IsZero() {
		m.SettleUs = int(req.SoftDeadline.Sub(now).Microseconds())
	}
	if len(req.CallerRequest.Body) > 0 {
		body := string(req.CallerRequest.Body)
		m.Body = &body
	}
	return m
}

// decodeRequest converts a message to a request; now is when the message was received.
func decodeRequest(now time.Time, m wire.Request) Request {
	at := func(us int) time.Time { return now.Add(microseconds(us)) }
	req := Request{
		CallerRequest: &exchange.Request{ID: m.ID, Method: m.Method, URI: m.Uri, Host: m.Host, Header: map[string][]string(m.Header), IsPart: true},
		Targets:       m.Targets, MaxRecords: m.Top, FlushTime: at(m.FlushUs), Deadline: at(m.EndUs),
	}
	if m.SettleUs > 0 {
		req.SoftDeadline = at(m.SettleUs)
	}
	if m.Body != nil {
		req.CallerRequest.Body = []byte(*m.Body)
	}
	return req
}

func microseconds(us int) time.Duration { return time.Duration(us) * time.Microsecond }

// encodeResults converts results to a message. It leaves out the bodies of the parts.
func encodeResults(number int, results Results) wire.Results {
	m := wire.Results{Number: number, Answered: []wire.AnsweredPart{}, Parts: []wire.PartResult{}}
	for _, p := range results.Parts {
		if p.Reply.Outcome == search.Good && !p.Reply.Statement.Limits() {
			m.Answered = append(m.Answered, wire.AnsweredPart{At: p.Index, Stamp: p.Reply.MAC, TookUs: int(p.Elapsed.Microseconds())})
			continue
		}
		part := wire.PartResult{At: p.Index, Outcome: wireOutcomes[p.Reply.Outcome], TookUs: int(p.Elapsed.Microseconds())}
		setIfNotEmpty(&part.Reason, p.Reply.Reason)
		setIfNotEmpty(&part.Stamp, p.Reply.MAC)
		setIfTrue(&part.Moved, p.Reply.TargetMoved)
		setIfTrue(&part.Silent, p.Reply.TimedOut)
		setIfTrue(&part.Local, p.Reply.LocalFailure)
		if s := p.Reply.Statement; s.Limits() {
			part.Statement = encodeStatement(s)
		}
		if p.Reply.Outcome != search.Good && p.Reply.Status != 0 {
			part.Status = &p.Reply.Status
		}
		m.Parts = append(m.Parts, part)
	}
	setIfNotEmpty(&m.Records, string(results.TopRecords))
	return m
}

func encodeStatement(s exchange.Statement) *wire.TargetStatement {
	return &wire.TargetStatement{Incarnation: int(s.Incarnation), Leaving: s.Leaving, ClosedMs: int(s.ClosedFor.Milliseconds())}
}

func decodeStatement(m *wire.TargetStatement) exchange.Statement {
	if m == nil {
		return exchange.Statement{}
	}
	return exchange.Statement{
		Incarnation: int64(m.Incarnation), Leaving: m.Leaving, ClosedFor: time.Duration(m.ClosedMs) * time.Millisecond,
	}
}

// setIfNotEmpty sets an optional text of a message unless it is empty.
func setIfNotEmpty(dst **string, s string) {
	if s != "" {
		*dst = &s
	}
}

// setIfTrue sets an optional flag of a message if it is true.
func setIfTrue(dst **bool, b bool) {
	if b {
		*dst = &b
	}
}

// valueOrZero returns the value of an optional field, or zero if it is not set.
func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

// decodeResults converts a message to results.
func decodeResults(m wire.Results) Results {
	var results Results
	for _, p := range m.Answered {
		r := exchange.Reply{Outcome: search.Good, MAC: p.Stamp}
		results.Parts = append(results.Parts, PartResult{Index: p.At, Reply: r, Elapsed: microseconds(p.TookUs)})
	}
	for _, p := range m.Parts {
		r := exchange.Reply{
			Outcome: decodeOutcome(p.Outcome), Reason: valueOrZero(p.Reason), MAC: valueOrZero(p.Stamp), Status: valueOrZero(p.Status),
			Statement: decodeStatement(p.Statement), TargetMoved: valueOrZero(p.Moved), TimedOut: valueOrZero(p.Silent), LocalFailure: valueOrZero(p.Local),
		}
		r.Shed = r.Outcome == search.NotRun && !r.TargetMoved
		results.Parts = append(results.Parts, PartResult{Index: p.At, Reply: r, Elapsed: microseconds(p.TookUs)})
	}
	results.TopRecords = []byte(valueOrZero(m.Records))
	return results
}

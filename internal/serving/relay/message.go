package relay

import (
	"encoding/base64"
	"time"

	"github.com/pkg/errors"

	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// Methods of the messages between hosts.
const (
	methodAsk    = "parts/ask"
	methodTold   = "parts/told"
	methodCancel = "parts/cancel"
)

// Request is what a host asks of another.
type Request struct {
	CallerRequest *exchange.Request
	// Targets are the targets of the parts.
	Targets []string
	// FlushTime is when the parts that are in are sent back together.
	FlushTime time.Time
	// SoftDeadline is until when a target may work; after it, until End. A zero Settle
	// stands for End.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxRecords is the number of records wanted at most.
	MaxRecords int
}

// PartResult is how a part ended.
type PartResult struct {
	// Index is its place among the targets.
	Index   int
	Reply   exchange.Reply
	Elapsed time.Duration
}

// Results is how some of the parts ended. Records are the greatest of the good ones
// together.
type Results struct {
	Parts      []PartResult
	TopRecords []byte
}

var outcomes = []wire.PartResultOutcome{
	search.Good: wire.PartResultOutcomeGood, search.NotSent: wire.PartResultOutcomeNotSent, search.NotRun: wire.PartResultOutcomeNotRun,
	search.Failed: wire.PartResultOutcomeFailed, search.Unknown: wire.PartResultOutcomeUnknown,
}

func outcomeOf(o wire.PartResultOutcome) search.Outcome {
	for i, name := range outcomes {
		if name == o {
			return search.Outcome(i)
		}
	}
	return search.Unknown
}

func encodeAsk(now time.Time, number int, a Request) wire.Request {
	m := wire.Request{
		Number: number, ID: a.CallerRequest.ID, Method: a.CallerRequest.Method, Uri: a.CallerRequest.URI, Host: a.CallerRequest.Host,
		Header: wire.RequestHeader(a.CallerRequest.Header), Targets: a.Targets, Top: a.MaxRecords,
		FlushUs: int(a.FlushTime.Sub(now).Microseconds()), EndUs: int(a.Deadline.Sub(now).Microseconds()),
	}
	if !a.SoftDeadline.IsZero() {
		m.SettleUs = int(a.SoftDeadline.Sub(now).Microseconds())
	}
	if len(a.CallerRequest.Body) > 0 {
		text := base64.StdEncoding.EncodeToString(a.CallerRequest.Body)
		m.Body = &text
	}
	return m
}

func decodeAsk(now time.Time, m wire.Request) (Request, error) {
	at := func(us int) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	a := Request{
		CallerRequest: &exchange.Request{ID: m.ID, Method: m.Method, URI: m.Uri, Host: m.Host, Header: map[string][]string(m.Header)},
		Targets:       m.Targets, MaxRecords: m.Top, FlushTime: at(m.FlushUs), Deadline: at(m.EndUs),
	}
	if m.SettleUs > 0 {
		a.SoftDeadline = at(m.SettleUs)
	}
	if m.Body != nil {
		body, err := base64.StdEncoding.DecodeString(*m.Body)
		if err != nil {
			return a, errors.Wrap(err, "body")
		}
		a.CallerRequest.Body = body
	}
	return a, nil
}

func encodeTold(number int, t Results) wire.Results {
	m := wire.Results{Number: number, Parts: make([]wire.PartResult, 0, len(t.Parts))}
	for _, p := range t.Parts {
		one := wire.PartResult{At: p.Index, Outcome: outcomes[p.Reply.Outcome], TookUs: int(p.Elapsed.Microseconds())}
		setText(&one.Reason, p.Reply.Reason)
		setText(&one.Stamp, p.Reply.MAC)
		setFlag(&one.Moved, p.Reply.TargetMoved)
		setFlag(&one.Silent, p.Reply.TimedOut)
		setFlag(&one.Local, p.Reply.LocalFailure)
		if p.Reply.Outcome != search.Good && p.Reply.Status != 0 {
			one.Status = &p.Reply.Status
		}
		m.Parts = append(m.Parts, one)
	}
	if len(t.TopRecords) > 0 {
		setText(&m.Records, base64.StdEncoding.EncodeToString(t.TopRecords))
	}
	return m
}

func setText(to **string, text string) {
	if text != "" {
		*to = &text
	}
}

func setFlag(to **bool, set bool) {
	if set {
		*to = &set
	}
}

func value[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func decodeTold(m wire.Results) (Results, error) {
	var t Results
	for _, p := range m.Parts {
		r := exchange.Reply{
			Outcome: outcomeOf(p.Outcome), Reason: value(p.Reason), MAC: value(p.Stamp), Status: value(p.Status),
			TargetMoved: value(p.Moved), TimedOut: value(p.Silent), LocalFailure: value(p.Local),
		}
		r.Shed = r.Outcome == search.NotRun && !r.TargetMoved
		t.Parts = append(t.Parts, PartResult{Index: p.At, Reply: r, Elapsed: time.Duration(p.TookUs) * time.Microsecond})
	}
	records, err := base64.StdEncoding.DecodeString(value(m.Records))
	if err != nil {
		return t, errors.Wrap(err, "records")
	}
	t.TopRecords = records
	return t, nil
}

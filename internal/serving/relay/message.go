package relay

import (
	"encoding/base64"
	"time"

	"github.com/pkg/errors"

	wire "fescuerill/internal/schema/relay"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/search"
)

// JSON-RPC methods between hosts.
const (
	methodRequest = "parts/ask"
	methodResults = "parts/told"
	methodCancel  = "parts/cancel"
)

// Ask is a request to a relay host to send the parts of a search to targets.
type Ask struct {
	Request *exchange.Ask
	// Targets holds the target ID of each part.
	Targets []string
	// Flush is when the results that have arrived are sent back in one message.
	Flush time.Time
	// Settle is the time limit of targets that are sent a part before it; later parts
	// have the limit End. If Settle is zero, End holds for all.
	Settle time.Time
	End    time.Time
	// Top is the maximum number of merged records to return.
	Top int
}

// Part is the result of a part.
type Part struct {
	// At is the index of the part in the targets of the request.
	At    int
	Reply exchange.Reply
	// Took is the time from the start of the send to its end.
	Took time.Duration
}

// Told holds the results of some of the parts of a request.
type Told struct {
	Parts []Part
	// Records holds the merged greatest records of the successful parts.
	Records []byte
}

// wireOutcomes maps a search.Outcome to its name in messages.
var wireOutcomes = []wire.PartOutcome{
	search.Good: wire.PartOutcomeGood, search.NotSent: wire.PartOutcomeNotSent, search.NotRun: wire.PartOutcomeNotRun,
	search.Failed: wire.PartOutcomeFailed, search.Unknown: wire.PartOutcomeUnknown,
}

// decodeOutcome returns search.Unknown for a name that it does not know.
func decodeOutcome(o wire.PartOutcome) search.Outcome {
	for i, name := range wireOutcomes {
		if name == o {
			return search.Outcome(i)
		}
	}
	return search.Unknown
}

func encodeRequest(now time.Time, number int, req Ask) wire.Ask {
	m := wire.Ask{
		Number: number, ID: req.Request.ID, Method: req.Request.Method, Uri: req.Request.URI, Host: req.Request.Host,
		Header: wire.AskHeader(req.Request.Header), Targets: req.Targets, Top: req.Top,
		FlushUs: int(req.Flush.Sub(now).Microseconds()), EndUs: int(req.End.Sub(now).Microseconds()),
	}
	if !req.Settle.IsZero() {
		m.SettleUs = int(req.Settle.Sub(now).Microseconds())
	}
	if len(req.Request.Body) > 0 {
		text := base64.StdEncoding.EncodeToString(req.Request.Body)
		m.Body = &text
	}
	return m
}

func decodeRequest(now time.Time, m wire.Ask) (Ask, error) {
	at := func(us int) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	req := Ask{
		Request: &exchange.Ask{ID: m.ID, Method: m.Method, URI: m.Uri, Host: m.Host, Header: map[string][]string(m.Header)},
		Targets: m.Targets, Top: m.Top, Flush: at(m.FlushUs), End: at(m.EndUs),
	}
	if m.SettleUs > 0 {
		req.Settle = at(m.SettleUs)
	}
	if m.Body != nil {
		body, err := base64.StdEncoding.DecodeString(*m.Body)
		if err != nil {
			return req, errors.Wrap(err, "decode request body")
		}
		req.Request.Body = body
	}
	return req, nil
}

func encodeResults(number int, t Told) wire.Told {
	m := wire.Told{Number: number, Parts: make([]wire.Part, 0, len(t.Parts))}
	for _, p := range t.Parts {
		part := wire.Part{At: p.At, Outcome: wireOutcomes[p.Reply.Outcome], TookUs: int(p.Took.Microseconds())}
		setIfNotEmpty(&part.Reason, p.Reply.Reason)
		setIfNotEmpty(&part.Stamp, p.Reply.Stamp)
		setIfTrue(&part.Moved, p.Reply.Moved)
		setIfTrue(&part.Silent, p.Reply.Silent)
		setIfTrue(&part.Local, p.Reply.Local)
		if p.Reply.Outcome != search.Good && p.Reply.Status != 0 {
			part.Status = &p.Reply.Status
		}
		m.Parts = append(m.Parts, part)
	}
	if len(t.Records) > 0 {
		setIfNotEmpty(&m.Records, base64.StdEncoding.EncodeToString(t.Records))
	}
	return m
}

func setIfNotEmpty(dst **string, s string) {
	if s != "" {
		*dst = &s
	}
}

func setIfTrue(dst **bool, b bool) {
	if b {
		*dst = &b
	}
}

func valueOrZero[T any](p *T) T {
	if p == nil {
		var zero T
		return zero
	}
	return *p
}

func decodeResults(m wire.Told) (Told, error) {
	var t Told
	for _, p := range m.Parts {
		r := exchange.Reply{
			Outcome: decodeOutcome(p.Outcome), Reason: valueOrZero(p.Reason), Stamp: valueOrZero(p.Stamp), Status: valueOrZero(p.Status),
			Moved: valueOrZero(p.Moved), Silent: valueOrZero(p.Silent), Local: valueOrZero(p.Local),
		}
		r.Shed = r.Outcome == search.NotRun && !r.Moved
		t.Parts = append(t.Parts, Part{At: p.At, Reply: r, Took: time.Duration(p.TookUs) * time.Microsecond})
	}
	records, err := base64.StdEncoding.DecodeString(valueOrZero(m.Records))
	if err != nil {
		return t, errors.Wrap(err, "decode merged records")
	}
	t.Records = records
	return t, nil
}

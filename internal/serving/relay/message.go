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
	methodRequest = "parts/ask"
	methodResults = "parts/told"
	methodCancel  = "parts/cancel"
)

// Ask is what a host asks of another.
type Ask struct {
	Request *exchange.Ask
	// Targets are the targets of the parts.
	Targets []string
	// Flush is when the parts that are in are sent back together.
	Flush time.Time
	// Settle is until when a target may work; after it, until End. A zero Settle
	// stands for End.
	Settle time.Time
	End    time.Time
	// Top is the number of records wanted at most.
	Top int
}

// Part is how a part ended.
type Part struct {
	// At is its place among the targets.
	At    int
	Reply exchange.Reply
	Took  time.Duration
}

// Told is how some of the parts ended. Records are the greatest of the good ones
// together.
type Told struct {
	Parts   []Part
	Records []byte
}

var wireOutcomes = []wire.PartOutcome{
	search.Good: wire.PartOutcomeGood, search.NotSent: wire.PartOutcomeNotSent, search.NotRun: wire.PartOutcomeNotRun,
	search.Failed: wire.PartOutcomeFailed, search.Unknown: wire.PartOutcomeUnknown,
}

func decodeOutcome(o wire.PartOutcome) search.Outcome {
	for i, name := range wireOutcomes {
		if name == o {
			return search.Outcome(i)
		}
	}
	return search.Unknown
}

func encodeRequest(now time.Time, number int, a Ask) wire.Ask {
	m := wire.Ask{
		Number: number, ID: a.Request.ID, Method: a.Request.Method, Uri: a.Request.URI, Host: a.Request.Host,
		Header: wire.AskHeader(a.Request.Header), Targets: a.Targets, Top: a.Top,
		FlushUs: int(a.Flush.Sub(now).Microseconds()), EndUs: int(a.End.Sub(now).Microseconds()),
	}
	if !a.Settle.IsZero() {
		m.SettleUs = int(a.Settle.Sub(now).Microseconds())
	}
	if len(a.Request.Body) > 0 {
		text := base64.StdEncoding.EncodeToString(a.Request.Body)
		m.Body = &text
	}
	return m
}

func decodeRequest(now time.Time, m wire.Ask) (Ask, error) {
	at := func(us int) time.Time { return now.Add(time.Duration(us) * time.Microsecond) }
	a := Ask{
		Request: &exchange.Ask{ID: m.ID, Method: m.Method, URI: m.Uri, Host: m.Host, Header: map[string][]string(m.Header)},
		Targets: m.Targets, Top: m.Top, Flush: at(m.FlushUs), End: at(m.EndUs),
	}
	if m.SettleUs > 0 {
		a.Settle = at(m.SettleUs)
	}
	if m.Body != nil {
		body, err := base64.StdEncoding.DecodeString(*m.Body)
		if err != nil {
			return a, errors.Wrap(err, "body")
		}
		a.Request.Body = body
	}
	return a, nil
}

func encodeResults(number int, t Told) wire.Told {
	m := wire.Told{Number: number, Parts: make([]wire.Part, 0, len(t.Parts))}
	for _, p := range t.Parts {
		one := wire.Part{At: p.At, Outcome: wireOutcomes[p.Reply.Outcome], TookUs: int(p.Took.Microseconds())}
		setIfNotEmpty(&one.Reason, p.Reply.Reason)
		setIfNotEmpty(&one.Stamp, p.Reply.Stamp)
		setIfTrue(&one.Moved, p.Reply.Moved)
		setIfTrue(&one.Silent, p.Reply.Silent)
		setIfTrue(&one.Local, p.Reply.Local)
		if p.Reply.Outcome != search.Good && p.Reply.Status != 0 {
			one.Status = &p.Reply.Status
		}
		m.Parts = append(m.Parts, one)
	}
	if len(t.Records) > 0 {
		setIfNotEmpty(&m.Records, base64.StdEncoding.EncodeToString(t.Records))
	}
	return m
}

func setIfNotEmpty(to **string, text string) {
	if text != "" {
		*to = &text
	}
}

func setIfTrue(to **bool, set bool) {
	if set {
		*to = &set
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
		return t, errors.Wrap(err, "records")
	}
	t.Records = records
	return t, nil
}

package outcome

import (
	"container/list"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/invariant"
)

// ErrFull is returned when a request cannot be recorded and therefore must not be
// executed.
var ErrFull = errors.New("outcome: table is full")

// State is the state of a request.
type State int

// States of a request.
const (
	// New means that the request has not been seen before and can be executed now.
	New State = iota
	// Running means that the request is in flight.
	Running
	// Completed means that the request was executed and its result is known.
	Completed
	// NotRun means that the request was certainly not executed.
	NotRun
	// Unknown means that the request may have been executed.
	Unknown
)

type record struct {
	key       string
	state     State
	result    string
	startedAt time.Time
	done      chan struct{}
}

// Table records the outcomes of requests for a retention time. Call Reset before use. A
// Table is not safe for concurrent use.
type Table struct {
	retention time.Duration
	capacity  int
	records   map[string]*list.Element
	order     list.List
}

// Reset empties the table. It holds up to capacity requests, each for the retention
// time after it began.
func (t *Table) Reset(capacity int, retention time.Duration) {
	*t = Table{retention: retention, capacity: capacity, records: map[string]*list.Element{}}
	t.order.Init()
}

// Len returns the number of requests in the table.
func (t *Table) Len() int { return len(t.records) }

// Begin looks up a request and, if it is New or was NotRun, records that it is Running.
// The channel is closed when a Running request ends. Begin returns ErrFull for a new
// request when the table is full.
func (t *Table) Begin(now time.Time, key string) (s State, result string, done <-chan struct{}, err error) {
	t.expire(now)
	if e := t.records[key]; e != nil {
		r := e.Value.(*record)
		if r.state != NotRun {
			return r.state, r.result, r.done, nil
		}
		t.remove(e)
	}
	if len(t.records) >= t.capacity {
		return New, "", nil, ErrFull
	}
	r := &record{key: key, state: Running, startedAt: now, done: make(chan struct{})}
	t.records[key] = t.order.PushBack(r)
	return New, "", r.done, nil
}

// End records the outcome of a request that has begun.
func (t *Table) End(key string, s State, result string) {
	e := t.records[key]
	if e == nil {
		return
	}
	r := e.Value.(*record)
	invariant.Check(r.state == Running, "request-ends-once", "key", key)
	r.state, r.result = s, result
	close(r.done)
}

// Lookup returns the state and the result of a request.
func (t *Table) Lookup(key string) (s State, result string) {
	e := t.records[key]
	if e == nil {
		return New, ""
	}
	r := e.Value.(*record)
	return r.state, r.result
}

// expire removes requests whose retention time has passed. A request in flight is never
// removed.
func (t *Table) expire(now time.Time) {
	for e := t.order.Front(); e != nil; {
		r := e.Value.(*record)
		if now.Before(r.startedAt.Add(t.retention)) {
			return
		}
		next := e.Next()
		if r.state != Running {
			t.remove(e)
		}
		e = next
	}
}

func (t *Table) remove(e *list.Element) {
	delete(t.records, e.Value.(*record).key)
	t.order.Remove(e)
}

package outcome

import (
	"container/list"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/invariant"
)

// ErrFull is returned when no request can be remembered and thus none be run.
var ErrFull = errors.New("outcome: memory is full")

// State is what is known of a request.
type State int

// States of a request.
const (
	// New means that the request was never seen: it may be run now.
	New State = iota
	// Running means that the request is under way.
	Running
	// Completed means that the request ran and its result is known.
	Completed
	// NotRun means that the request was surely not run.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

type record struct {
	key    string
	state  State
	result string
	began  time.Time
	done   chan struct{}
}

// Table remembers the outcomes of requests for a time. Reset it before use.
// It is not safe for use by several goroutines.
type Table struct {
	keep     time.Duration
	capacity int
	records  map[string]*list.Element
	order    list.List
}

// Reset empties the memory. It holds capacity requests, each for the time keep
// after it began.
func (m *Table) Reset(capacity int, keep time.Duration) {
	*m = Table{keep: keep, capacity: capacity, records: map[string]*list.Element{}}
	m.order.Init()
}

// Len returns the number of requests remembered.
func (m *Table) Len() int { return len(m.records) }

// Begin looks a request up and, when it is New or was NotRun, makes it
// Running. For a request that is Running the channel is closed when it ends.
// It returns ErrFull for a new request that could not be remembered.
func (m *Table) Begin(now time.Time, key string) (s State, result string, done <-chan struct{}, err error) {
	m.expire(now)
	if e := m.records[key]; e != nil {
		r := e.Value.(*record)
		if r.state != NotRun {
			return r.state, r.result, r.done, nil
		}
		m.forget(e)
	}
	if len(m.records) >= m.capacity {
		return New, "", nil, ErrFull
	}
	r := &record{key: key, state: Running, began: now, done: make(chan struct{})}
	m.records[key] = m.order.PushBack(r)
	return New, "", r.done, nil
}

// End notes what became of a request that was begun.
func (m *Table) End(key string, s State, result string) {
	e := m.records[key]
	if e == nil {
		return
	}
	r := e.Value.(*record)
	invariant.Check(r.state == Running, "request-ends-once", "key", key)
	r.state, r.result = s, result
	close(r.done)
}

// Lookup returns what is known of a request.
func (m *Table) Lookup(key string) (s State, result string) {
	e := m.records[key]
	if e == nil {
		return New, ""
	}
	r := e.Value.(*record)
	return r.state, r.result
}

// expire forgets requests that are kept long enough. A request that is under
// way is never forgotten.
func (m *Table) expire(now time.Time) {
	for e := m.order.Front(); e != nil; {
		r := e.Value.(*record)
		if now.Before(r.began.Add(m.keep)) {
			return
		}
		next := e.Next()
		if r.state != Running {
			m.forget(e)
		}
		e = next
	}
}

func (m *Table) forget(e *list.Element) {
	delete(m.records, e.Value.(*record).key)
	m.order.Remove(e)
}

package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fescuerill/internal/schema/exchange"
)

// coldSignalGrace is the period after the first reply showing that a target is
// cold in which arriving requests count as sent before the sender could know.
const coldSignalGrace = 5 * time.Millisecond

// TargetOptions configures a Target.
type TargetOptions struct {
	// Service is the number of the target's service, from 0, and Services the
	// number of services in the deployment.
	Service, Services int
	// Index is the number of the target in its service, from 0, and Replicas
	// the number of targets of the service.
	Index, Replicas int
	// Slots and MaxBatch are the capacity of a warm target: the maximum number of
	// concurrent exchanges and of parts in one exchange. ColdSlots and
	// MaxColdBatch are the capacity of a cold one, which gains a slot for every
	// ExchangesPerSlot exchanges that it completes, until it has Slots.
	Slots, MaxBatch, ColdSlots, MaxColdBatch, ExchangesPerSlot int
	// BaseLatency is the latency of an exchange without parts. Each part adds
	// LatencyPerPart.
	BaseLatency, LatencyPerPart time.Duration
	// ColdLatencyFactor multiplies the latency until the target is warm, if it is
	// above 1.
	ColdLatencyFactor float64
	// StartWarm makes the target start warm.
	StartWarm bool
	// Seed seeds the random part of the latency.
	Seed uint64
	// Operations counts the operations run on each item. The targets of a
	// deployment share it. If it is nil, the target has its own.
	Operations *OperationCounter
}

// OperationCounter counts the operations run on each item. The zero value is
// empty.
type OperationCounter struct {
	mu    sync.Mutex
	items map[string]int
}

// record records that an operation ran on an item and returns the number of
// operations run on it so far.
func (c *OperationCounter) record(item string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.items == nil {
		c.items = map[string]int{}
	}
	c.items[item]++
	return c.items[item]
}

// TargetFaults selects the faults that a Target injects.
type TargetFaults struct {
	// LatencyFactor multiplies the latency of each exchange, if above 1.
	LatencyFactor float64
	// SilentConnections leaves requests unanswered on connections that were
	// opened before the fault was set. Connections opened later work.
	SilentConnections bool
	// FalseReport makes the target report that it is warm and idle, whatever its
	// state.
	FalseReport bool
	// Leaving makes the target refuse exchanges and report that it is leaving.
	Leaving bool
	// ResetConnections makes the target close connections without an answer.
	ResetConnections bool
}

// TargetCounts holds the counts that a target keeps of the requests it received.
// fescuerill-standin serves it as JSON under the names of the fields.
type TargetCounts struct {
	// Actions counts the non-idempotent operations that ran, Shed the exchanges
	// refused because no slot was free, and Cancelled those ended by a cancel
	// request.
	Exchanges, Parts, Actions, Shed, Cancelled int
	// Overruns counts exchanges that exceeded the capacity of a warm target.
	Overruns int
	// ColdOverruns counts exchanges that exceeded the capacity of a target that
	// was not warm. Those sent before the sender could know that the target had
	// turned cold count as Unannounced instead.
	ColdOverruns, Unannounced int
	// Repeated counts operations on an item on which one had run before.
	Repeated int
	// MostAtOnce is the maximum number of concurrent exchanges.
	MostAtOnce int
}

// Target is a stand-in for a back end. It implements http.Handler and follows
// the contract in docs/CALLERS.md. Use NewTarget to create one.
type Target struct {
	options TargetOptions
	corpus  *Corpus

	mu              sync.Mutex
	random          *rand.Rand
	faults          TargetFaults
	counts          TargetCounts
	incarnation     int
	completed       int
	inFlight        map[string]context.CancelFunc
	coldSignalledAt time.Time
	snapshots       []int
	version         int
	silentSince     time.Time
}

// NewTarget returns a target that holds snapshot 1 of the corpus.
func NewTarget(o TargetOptions, c *Corpus) *Target {
	t := &Target{
		options: o, corpus: c, random: rand.New(rand.NewPCG(o.Seed, uint64(o.Service*64+o.Index))),
		incarnation: 1, inFlight: map[string]context.CancelFunc{}, snapshots: []int{1}, version: 1,
		coldSignalledAt: time.Now(),
	}
	if t.options.Operations == nil {
		t.options.Operations = &OperationCounter{}
	}
	if o.StartWarm {
		t.completed = t.warmThreshold()
	}
	return t
}

// SetFaults replaces the faults that the target injects from now on.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.SilentConnections && !t.faults.SilentConnections {
		t.silentSince = time.Now()
	}
	t.faults = f
}

// SetSnapshots sets the numbers of the snapshots that the target holds.
func (t *Target) SetSnapshots(numbers ...int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = numbers
	t.version++
}

// TurnCold makes the target cold. If restart is set, its incarnation changes.
func (t *Target) TurnCold(restart bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = 0
	t.coldSignalledAt = time.Time{}
	if restart {
		t.incarnation++
	}
}

// Counts returns the counts of the requests that the target received.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	faults, since := t.faults, t.silentSince
	t.mu.Unlock()
	if opened, ok := r.Context().Value(connOpenedKey{}).(time.Time); faults.SilentConnections && ok && opened.Before(since) {
		// The HTTP server notices that the client closed the connection, and
		// ends the context, only after the request body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	if faults.ResetConnections {
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/report":
		WriteJSON(w, http.StatusOK, t.report())
	case "POST /v1/exchange":
		t.exchange(w, r)
	case "POST /v1/cancel":
		t.cancel(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (t *Target) cancel(w http.ResponseWriter, r *http.Request) {
	var c exchange.Cancel
	if !readJSON(w, r, &c) {
		return
	}
	t.mu.Lock()
	if stop := t.inFlight[c.ExchangeID]; stop != nil {
		stop()
		t.counts.Cancelled++
	}
	t.mu.Unlock()
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (t *Target) exchange(w http.ResponseWriter, r *http.Request) {
	var q exchange.Request
	if !readJSON(w, r, &q) {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), time.Duration(q.BudgetUs)*time.Microsecond)
	defer stop()
	reason := t.admit(q, stop)
	if reason == "" {
		completed := readToEnd(r) && t.simulateWork(ctx, len(q.Parts))
		if !completed {
			reason = "deadline"
		}
		t.finish(q.ExchangeID, completed)
	}
	results := t.results(q, reason)
	WriteJSON(w, http.StatusOK, exchange.Reply{Results: results, Report: t.report()})
}

// admit counts an exchange. It either adds it to those in flight and returns "",
// or returns the reason for refusing it.
func (t *Target) admit(q exchange.Request, stop context.CancelFunc) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Exchanges++
	t.counts.Parts += len(q.Parts)
	if t.faults.Leaving {
		return "leaving"
	}
	slots, batch := t.capacity()
	overrun := len(t.inFlight)+1 > slots || len(q.Parts) > batch
	if overrun {
		t.countOverrun()
	}
	if len(t.inFlight)+1 > slots {
		t.counts.Shed++
		t.signalCold()
		return "shed"
	}
	t.inFlight[q.ExchangeID] = stop
	t.counts.MostAtOnce = max(t.counts.MostAtOnce, len(t.inFlight))
	return ""
}

func (t *Target) countOverrun() {
	switch {
	case t.completed >= t.warmThreshold():
		t.counts.Overruns++
	case t.coldSignalledAt.IsZero() || time.Since(t.coldSignalledAt) < coldSignalGrace:
		t.counts.Unannounced++
	default:
		t.counts.ColdOverruns++
	}
}

// signalCold records the time of the first reply from which senders can tell
// that the target is cold.
func (t *Target) signalCold() {
	if t.coldSignalledAt.IsZero() {
		t.coldSignalledAt = time.Now()
	}
}

// capacity returns the current maximum number of concurrent exchanges and of
// parts in one exchange. It follows the same rule as target.Limiter: a target that
// has gained all its slots gets half the warm batch until it is warm.
func (t *Target) capacity() (slots, batch int) {
	o := &t.options
	ramp := min(o.Slots, o.ColdSlots+t.completed/o.ExchangesPerSlot)
	switch {
	case t.completed >= t.warmThreshold():
		return o.Slots, o.MaxBatch
	case ramp >= o.Slots:
		return o.Slots, max(o.MaxColdBatch, o.MaxBatch/2)
	default:
		return ramp, o.MaxColdBatch
	}
}

// warmThreshold returns the number of completed exchanges after which the target is
// warm.
func (t *Target) warmThreshold() int {
	return (t.options.Slots - t.options.ColdSlots + 2) * t.options.ExchangesPerSlot
}

func (t *Target) finish(id string, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, id)
	if completed {
		t.completed++
	}
}

// simulateWork waits for the latency of an exchange and reports whether it
// elapsed before the context ended.
func (t *Target) simulateWork(ctx context.Context, parts int) bool {
	t.mu.Lock()
	d := t.options.BaseLatency + time.Duration(parts)*t.options.LatencyPerPart
	if t.completed < t.warmThreshold() && t.options.ColdLatencyFactor > 1 {
		d = time.Duration(float64(d) * t.options.ColdLatencyFactor)
	}
	if t.faults.LatencyFactor > 1 {
		d = time.Duration(float64(d) * t.faults.LatencyFactor)
	}
	d = time.Duration(float64(d) * (0.75 + t.random.ExpFloat64()/4))
	t.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// results returns a result for each part of the request. If refusal is not
// empty, no part runs and refusal is the reason.
func (t *Target) results(q exchange.Request, refusal string) []exchange.Result {
	out := make([]exchange.Result, len(q.Parts))
	for i, p := range q.Parts {
		out[i] = exchange.Result{RequestID: p.RequestID, Snapshot: p.Snapshot, Outcome: exchange.ResultOutcomeNotRun}
		reason := refusal
		switch {
		case reason != "":
		case p.Operation != nil && *p.Operation != "":
			t.runOperation(&out[i], p)
		case !t.holdsShard(p.Snapshot, p.Shard):
			reason = "snapshot-gone"
		default:
			out[i].Outcome = exchange.ResultOutcomeDone
			out[i].Hits = t.search(p)
		}
		if reason != "" {
			out[i].Reason = &reason
		}
	}
	return out
}

// runOperation runs a non-idempotent operation.
func (t *Target) runOperation(r *exchange.Result, p exchange.Part) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Actions++
	item := ""
	if p.Item != nil {
		item = *p.Item
	}
	if t.options.Operations.record(item) > 1 {
		t.counts.Repeated++
	}
	r.Outcome = exchange.ResultOutcomeDone
	r.Hits = []exchange.Hit{{Document: item, Text: *p.Operation + " " + item, Score: 1}}
}

// shardCount returns the number of shards of the service under a snapshot. Odd
// snapshots have one more shard than even ones.
func (t *Target) shardCount(snapshot int) int { return 1 + snapshot%2 + t.options.Replicas/3 }

// heldShards returns the shards of a snapshot that the target holds. A target of
// a service with three or more replicas lacks the shards whose number equals
// its index modulo the number of replicas; any other target holds all shards.
func (t *Target) heldShards(snapshot int) []int {
	n := t.shardCount(snapshot)
	var held []int
	for s := range n {
		if t.options.Replicas < 3 || s%t.options.Replicas != t.options.Index {
			held = append(held, s)
		}
	}
	return held
}

func (t *Target) holdsShard(snapshot, shard int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.snapshots {
		if n != snapshot {
			continue
		}
		for _, s := range t.heldShards(n) {
			if s == shard {
				return true
			}
		}
	}
	return false
}

func (t *Target) search(p exchange.Part) []exchange.Hit {
	matches := t.corpus.Search(p.Snapshot, t.options.Service, t.options.Services, p.Shard, t.shardCount(p.Snapshot), p.Terms, p.Limit)
	hits := make([]exchange.Hit, len(matches))
	for i, m := range matches {
		hits[i] = exchange.Hit{Document: m.Document, Score: m.Score, Text: m.Text}
	}
	return hits
}

func (t *Target) report() exchange.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.faults.FalseReport {
		t.signalCold()
	}
	version := t.version
	r := exchange.Report{
		Incarnation: strconv.Itoa(t.incarnation), State: exchange.ReportStateWarm,
		Load: float64(len(t.inFlight)) / float64(t.options.Slots), Version: &version,
	}
	switch {
	case t.faults.Leaving:
		r.State = exchange.ReportStateLeaving
	case t.faults.FalseReport:
		r.Load = 0
	case t.completed == 0:
		r.State = exchange.ReportStateCold
	case t.completed < t.warmThreshold():
		r.State = exchange.ReportStateWarming
	}
	for _, n := range t.snapshots {
		r.Holdings = append(r.Holdings, exchange.Holding{Snapshot: n, Shards: t.shardCount(n), Held: t.heldShards(n)})
	}
	return r
}

// connOpenedKey is the context key of the time at which the connection of a
// request was opened.
type connOpenedKey struct{}

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

// signGrace is how long after its first sign of a turn to cold a target still
// counts arrivals as sent before the sender could know.
const signGrace = 5 * time.Millisecond

// TargetOptions describes a stand-in target.
type TargetOptions struct {
	// Service numbers its service out of Services in the deployment.
	Service, Services int
	// Index numbers the target out of Replicas targets of its service.
	Index, Replicas int
	// Slots, Batch, ColdSlots, ColdBatch and WarmStep are what it bears.
	Slots, Batch, ColdSlots, ColdBatch, WarmStep int
	// BaseLatency is the time of an exchange and PerPart that of each part in it.
	BaseLatency, LatencyPerPart time.Duration
	// ColdLatencyFactor multiplies both while the target is cold.
	ColdLatencyFactor float64
	// StartWarm makes the target start warm.
	StartWarm bool
	Seed      uint64
	// Operations remembers the items on which operations ran; the targets of a
	// deployment share it.
	Operations *OperationLog
}

// OperationLog remembers on which items operations ran. The zero value remembers none.
type OperationLog struct {
	mu    sync.Mutex
	items map[string]int
}

// record notes that an operation ran on an item and returns how often one has.
func (r *OperationLog) record(item string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.items == nil {
		r.items = map[string]int{}
	}
	r.items[item]++
	return r.items[item]
}

// TargetFaults says how a target fails.
type TargetFaults struct {
	// LatencyFactor multiplies the time of each exchange when it is above one.
	LatencyFactor float64
	// SilentConnections makes requests that come over connections opened before now wait
	// for good.
	SilentConnections bool
	// FalseReport makes the target report that it is warm and idle whatever it is.
	FalseReport bool
	// Leaving makes the target refuse new work and say so.
	Leaving bool
	// ResetConnections makes the target close connections without an answer.
	ResetConnections bool
}

// TargetCounts is what a target saw on its side.
type TargetCounts struct {
	Exchanges, Parts, Actions, Shed, Cancelled int
	// Overruns counts arrivals above what a warm target bears.
	Overruns int
	// ColdOverruns counts arrivals above what the cold target bears;
	// Unannounced those of them that were sent before any sign of its turn.
	ColdOverruns, Unannounced int
	// Repeated counts operations on an item on which one had run before.
	Repeated   int
	MostAtOnce int
}

// Target stands for a back end. It is an http.Handler for the contract in
// docs/CALLERS.md. NewTarget makes one.
type Target struct {
	options TargetOptions
	corpus  *Corpus

	mu          sync.Mutex
	random      *rand.Rand
	faults      TargetFaults
	counts      TargetCounts
	incarnation int
	completed   int
	running     map[string]context.CancelFunc
	signed      time.Time
	snapshots   []int
	version     int
	silentSince time.Time
}

// NewTarget returns a target that serves the corpus under snapshot 1.
func NewTarget(o TargetOptions, c *Corpus) *Target {
	t := &Target{
		options: o, corpus: c, random: rand.New(rand.NewPCG(o.Seed, uint64(o.Service*64+o.Index))),
		incarnation: 1, running: map[string]context.CancelFunc{}, snapshots: []int{1}, version: 1,
		signed: time.Now(),
	}
	if t.options.Operations == nil {
		t.options.Operations = &OperationLog{}
	}
	if o.StartWarm {
		t.completed = t.fullAfter()
	}
	return t
}

// SetFaults sets how the target fails from now on.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.SilentConnections && !t.faults.SilentConnections {
		t.silentSince = time.Now()
	}
	t.faults = f
}

// SetSnapshots sets the snapshots that the target holds.
func (t *Target) SetSnapshots(numbers ...int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = numbers
	t.version++
}

// TurnCold makes the target cold. With a restart its incarnation changes.
func (t *Target) TurnCold(restart bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completed = 0
	t.signed = time.Time{}
	if restart {
		t.incarnation++
	}
}

// Counts returns what the target saw.
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
	if opened, ok := r.Context().Value(openedKey{}).(time.Time); faults.SilentConnections && ok && opened.Before(since) {
		// The server sees that a connection is closed once the body was read.
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
	if !read(w, r, &c) {
		return
	}
	t.mu.Lock()
	if stop := t.running[c.ExchangeID]; stop != nil {
		stop()
		t.counts.Cancelled++
	}
	t.mu.Unlock()
	WriteJSON(w, http.StatusOK, struct{}{})
}

func (t *Target) exchange(w http.ResponseWriter, r *http.Request) {
	var q exchange.Request
	if !read(w, r, &q) {
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), time.Duration(q.BudgetUs)*time.Microsecond)
	defer stop()
	reason := t.arrive(q, stop)
	if reason == "" {
		whole := t.work(ctx, len(q.Parts))
		if !whole {
			reason = "deadline"
		}
		t.leave(q.ExchangeID, whole)
	}
	results := t.results(q, reason)
	WriteJSON(w, http.StatusOK, exchange.Reply{Results: results, Report: t.report()})
}

// arrive counts an exchange in and returns why it is refused, if it is.
func (t *Target) arrive(q exchange.Request, stop context.CancelFunc) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Exchanges++
	t.counts.Parts += len(q.Parts)
	if t.faults.Leaving {
		return "leaving"
	}
	slots, batch := t.bears()
	over := len(t.running)+1 > slots || len(q.Parts) > batch
	if over {
		t.overrun()
	}
	if len(t.running)+1 > slots {
		t.counts.Shed++
		t.sign()
		return "shed"
	}
	t.running[q.ExchangeID] = stop
	t.counts.MostAtOnce = max(t.counts.MostAtOnce, len(t.running))
	return ""
}

func (t *Target) overrun() {
	switch {
	case t.completed >= t.fullAfter():
		t.counts.Overruns++
	case t.signed.IsZero() || time.Since(t.signed) < signGrace:
		t.counts.Unannounced++
	default:
		t.counts.ColdOverruns++
	}
}

// sign notes that the sender could see from now on that the target is cold.
func (t *Target) sign() {
	if t.signed.IsZero() {
		t.signed = time.Now()
	}
}

// bears returns the exchanges and the parts of one that the target bears now.
func (t *Target) bears() (slots, batch int) {
	o := &t.options
	ramp := min(o.Slots, o.ColdSlots+t.completed/o.WarmStep)
	switch {
	case t.completed >= t.fullAfter():
		return o.Slots, o.Batch
	case ramp >= o.Slots:
		return o.Slots, max(o.ColdBatch, o.Batch/2)
	default:
		return ramp, o.ColdBatch
	}
}

func (t *Target) fullAfter() int {
	return (t.options.Slots - t.options.ColdSlots + 2) * t.options.WarmStep
}

func (t *Target) leave(id string, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
	if whole {
		t.completed++
	}
}

// work takes the time of an exchange and reports whether it came to its end.
func (t *Target) work(ctx context.Context, parts int) bool {
	t.mu.Lock()
	d := t.options.BaseLatency + time.Duration(parts)*t.options.LatencyPerPart
	if t.completed < t.fullAfter() && t.options.ColdLatencyFactor > 1 {
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

func (t *Target) results(q exchange.Request, refused string) []exchange.Result {
	out := make([]exchange.Result, len(q.Parts))
	for i, p := range q.Parts {
		out[i] = exchange.Result{RequestID: p.RequestID, Snapshot: p.Snapshot, Outcome: exchange.ResultOutcomeNotRun}
		reason := refused
		switch {
		case reason != "":
		case p.Operation != nil && *p.Operation != "":
			t.operate(&out[i], p)
		case !t.holds(p.Snapshot, p.Shard):
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

// operate runs a non-idempotent operation.
func (t *Target) operate(r *exchange.Result, p exchange.Part) {
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

// shards returns the shards of the service under a snapshot: every other
// snapshot divides it in one more.
func (t *Target) shards(snapshot int) int { return 1 + snapshot%2 + t.options.Replicas/3 }

// heldShards returns the shards of a snapshot that the target holds: all but
// one of those of a service of three targets or more.
func (t *Target) heldShards(snapshot int) []int {
	n := t.shards(snapshot)
	var held []int
	for s := range n {
		if t.options.Replicas < 3 || s%t.options.Replicas != t.options.Index {
			held = append(held, s)
		}
	}
	return held
}

func (t *Target) holds(snapshot, shard int) bool {
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
	found := t.corpus.Search(p.Snapshot, t.options.Service, t.options.Services, p.Shard, t.shards(p.Snapshot), p.Terms, p.Limit)
	hits := make([]exchange.Hit, len(found))
	for i, f := range found {
		hits[i] = exchange.Hit{Document: f.Document, Score: f.Score, Text: f.Text}
	}
	return hits
}

func (t *Target) report() exchange.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.faults.FalseReport {
		t.sign()
	}
	version := t.version
	r := exchange.Report{
		Incarnation: strconv.Itoa(t.incarnation), State: exchange.ReportStateWarm,
		Load: float64(len(t.running)) / float64(t.options.Slots), Version: &version,
	}
	switch {
	case t.faults.Leaving:
		r.State = exchange.ReportStateLeaving
	case t.faults.FalseReport:
		r.Load = 0
	case t.completed == 0:
		r.State = exchange.ReportStateCold
	case t.completed < t.fullAfter():
		r.State = exchange.ReportStateWarming
	}
	for _, n := range t.snapshots {
		r.Holdings = append(r.Holdings, exchange.Holding{Snapshot: n, Shards: t.shards(n), Held: t.heldShards(n)})
	}
	return r
}

type openedKey struct{}

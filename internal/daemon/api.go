package daemon

import (
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fescuerill/host"
	"fescuerill/internal/invariant"
	"fescuerill/internal/schema/caller"
)

// Bounds on what callers send.
const (
	maxBody      = 64 << 10
	maxHeader    = 16 << 10
	headerTime   = 2 * time.Second
	requestTime  = 5 * time.Second
	idleTime     = time.Minute
	defaultLimit = 10
	// maxAddresses is the number of hosts named to a caller at most.
	maxAddresses = 32
)

// serve answers callers at the listener.
func (d *Daemon) serve(l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/hosts", d.getHosts)
	m.HandleFunc("POST /v1/search", d.postSearch)
	m.HandleFunc("GET /v1/ticket", d.getTicket)
	m.HandleFunc("POST /v1/action", d.postAction)
	m.HandleFunc("GET /v1/live", d.getLive)
	m.HandleFunc("GET /v1/ready", d.getReady)
	m.HandleFunc("GET /v1/counters", d.getCounters)
	m.HandleFunc("GET /v1/status", d.getStatus)
	d.http = &http.Server{
		Handler: m, ReadHeaderTimeout: headerTime, ReadTimeout: requestTime, WriteTimeout: requestTime,
		IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	d.duties.Go(func() { _ = d.http.Serve(l) })
}

// respond writes an answer as JSON.
func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (d *Daemon) fail(w http.ResponseWriter, f *failure) {
	d.tally.Add("failed-"+string(f.body.Kind)+"-"+f.body.Reason, 1)
	if f.body.RetryAfterMs != nil {
		w.Header().Set("Retry-After", strconv.Itoa((*f.body.RetryAfterMs+999)/1000))
	}
	respond(w, f.status, f.body)
}

// decode reads the body of a request, within the bounds and checked against
// the schema of its message.
func decode(w http.ResponseWriter, r *http.Request, message string, out any) *failure {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return badRequest("unreadable-body", err.Error())
	}
	return checkMessage(message, text, out)
}

func (d *Daemon) postSearch(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var q caller.Search
	if f := decode(w, r, "search", &q); f != nil {
		d.fail(w, f)
		return
	}
	s := search{terms: q.Terms, limit: defaultLimit, arrived: arrived}
	if q.Scope != nil {
		s.scope = *q.Scope
	}
	if q.Limit != nil {
		s.limit = *q.Limit
	}
	if q.DeadlineMs != nil {
		s.deadline = arrived.Add(time.Duration(*q.DeadlineMs) * time.Millisecond)
	}
	d.tally.Add("requests", 1)
	result := d.entry.answer(r.Context(), s)
	d.tally.Observe("answer-latency-us", time.Since(arrived).Microseconds())
	if f := refusal(result); f != nil {
		d.fail(w, f)
		return
	}
	respond(w, http.StatusOK, d.message(result))
}

// refusal returns the error of a search that has no answer, or nil.
func refusal(r result) *failure {
	switch {
	case r.refused == "":
		return nil
	case r.refused == "unknown-scope":
		return badRequest(r.refused, "no target group or service has this path")
	case r.notRun:
		f := notRun(r.refused, r.wait)
		wait := int(r.wait.Milliseconds())
		f.body.RetryAfterMs = &wait
		return f
	default:
		return deadlinePassed(r.refused)
	}
}

func (d *Daemon) message(r result) caller.Answer {
	c := r.answer.Coverage
	a := caller.Answer{
		RequestID: d.incarnation[:8] + "-" + strconv.FormatInt(d.entry.number.Add(1), 36), Host: d.ID(),
		Hits:     make([]caller.Hit, len(r.answer.Hits)),
		Coverage: caller.Coverage{Snapshot: c.Snapshot, Covered: c.Covered, Missing: make([]caller.MissingShard, len(c.Missing))},
	}
	if a.Coverage.Covered == nil {
		a.Coverage.Covered = []string{}
	}
	for i, h := range r.answer.Hits {
		a.Hits[i] = caller.Hit{Shard: h.Shard, Document: h.Document, Score: h.Score, Text: h.Text}
	}
	for i, m := range c.Missing {
		a.Coverage.Missing[i] = caller.MissingShard{Shard: m.Shard, Reason: m.Reason}
	}
	return a
}

func (d *Daemon) getTicket(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, d.actions.ticket())
}

func (d *Daemon) postAction(w http.ResponseWriter, r *http.Request) {
	var q caller.Action
	if f := decode(w, r, "action", &q); f != nil {
		d.fail(w, f)
		return
	}
	d.tally.Add("actions", 1)
	out, f := d.actions.run(r.Context(), q)
	if f != nil {
		d.fail(w, f)
		return
	}
	respond(w, http.StatusOK, out)
}

// getHosts names the hosts to use, in an order that differs from caller to
// caller. Hosts that leave and hosts in a data centre that is out are absent. A
// host that hears nobody names none, so that callers ask another.
func (d *Daemon) getHosts(w http.ResponseWriter, r *http.Request) {
	near := r.FormValue("data-centre")
	if len(near) > maxName {
		d.fail(w, badRequest("data-centre-too-long", "the name of a data centre is shorter"))
		return
	}
	respond(w, http.StatusOK, caller.Addresses{ValidMs: int(d.node.AddressValidity().Milliseconds()), Hosts: d.addresses(near)})
}

// maxName is the length in bytes of the longest name taken in a query.
const maxName = 100

func (d *Daemon) addresses(near string) []caller.Address {
	out := []caller.Address{}
	v, division := d.entry.view.Load(), d.division.Load()
	if v == nil || division == nil || d.gossip.isolated(time.Now()) {
		return out
	}
	for _, h := range division.record.hosts {
		if v.DataCentreEvacuated(h.DataCentre) || d.gossip.state(h.ID) != host.Alive {
			continue
		}
		out = append(out, caller.Address{ID: h.ID, Address: h.CallerAddress, Incarnation: h.Incarnation, DataCentre: h.DataCentre})
	}
	out = spread(out, near)
	return out[:min(len(out), maxAddresses)]
}

func (d *Daemon) getLive(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, map[string]string{"host": d.ID(), "incarnation": d.incarnation})
}

// getReady reports whether the host can answer: it has settings and knows the
// division of the targets.
func (d *Daemon) getReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) getCounters(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, d.Counters())
}

// Counters returns all counters, with those of the invariants.
func (d *Daemon) Counters() map[string]int64 {
	out := map[string]int64{
		"peer-bytes-sent": d.traffic.Sent(), "peer-bytes-received": d.traffic.Received(),
		"invariant-violations": invariant.Violations(),
	}
	d.tally.Each(func(name string, v int64) { out[name] = v })
	return out
}

func (d *Daemon) getStatus(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, d.Status())
}

// Status returns what the host says of itself to operators.
func (d *Daemon) Status() caller.Status {
	r := d.fleet.present()
	s := caller.Status{
		Host: d.ID(), Incarnation: d.incarnation, Revision: d.SettingsRevision(), Epoch: r.Epoch, Hosts: len(r.hosts),
		Proven: d.fleet.proven(time.Now()), StoreOut: d.fleet.storeFailing(), Leaving: d.leaving.Load(),
		Targets: d.ownership.statuses(),
	}
	slices.SortFunc(s.Targets, func(a, b caller.TargetStatus) int { return strings.Compare(a.Target, b.Target) })
	return s
}

// Ready reports whether the host takes requests.
func (d *Daemon) Ready() bool {
	division := d.division.Load()
	return d.entry.view.Load() != nil && division != nil && len(division.owners) > 0 && !d.leaving.Load()
}

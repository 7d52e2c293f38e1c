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

// Limits on requests of callers.
const (
	maxBodyBytes      = 64 << 10
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 2 * time.Second
	requestTimeout    = 5 * time.Second
	idleTimeout       = time.Minute
	// defaultLimit is the maximum number of hits if a request states none.
	defaultLimit = 10
	// maxAddresses is the maximum number of hosts in a reply to a caller.
	maxAddresses = 32
)

// serveCallers serves the HTTP API for callers at the listener.
func (d *Daemon) serveCallers(l net.Listener) {
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
		Handler: m, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug),
	}
	d.goroutines.Go(func() { _ = d.http.Serve(l) })
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (d *Daemon) writeFailure(w http.ResponseWriter, f *failure) {
	d.stats.Add("failed-"+string(f.body.Kind)+"-"+f.body.Reason, 1)
	if f.body.RetryAfterMs != nil {
		w.Header().Set("Retry-After", strconv.Itoa((*f.body.RetryAfterMs+999)/1000))
	}
	writeJSON(w, f.status, f.body)
}

// decodeRequest reads the body of a request, limits its size and validates it
// against the schema of the message.
func decodeRequest(w http.ResponseWriter, r *http.Request, message string, out any) *failure {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return badRequest("unreadable-body", err.Error())
	}
	return checkMessage(message, body, out)
}

func (d *Daemon) postSearch(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var q caller.Search
	if f := decodeRequest(w, r, "search", &q); f != nil {
		d.writeFailure(w, f)
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
	d.stats.Add("requests", 1)
	result := d.coordinator.answer(r.Context(), s)
	d.stats.Observe("answer-latency-us", time.Since(arrived).Microseconds())
	if f := failureOf(result); f != nil {
		d.writeFailure(w, f)
		return
	}
	writeJSON(w, http.StatusOK, d.newAnswer(result))
}

// failureOf returns the error response for a search without an answer, or nil.
func failureOf(r result) *failure {
	switch {
	case r.refusalReason == "":
		return nil
	case r.refusalReason == "unknown-scope":
		return badRequest(r.refusalReason, "no target group or service has this path")
	case r.notRun:
		f := notRun(r.refusalReason, r.retryAfter)
		wait := int(r.retryAfter.Milliseconds())
		f.body.RetryAfterMs = &wait
		return f
	default:
		return deadlinePassed(r.refusalReason)
	}
}

func (d *Daemon) newAnswer(r result) caller.Answer {
	c := r.answer.Coverage
	a := caller.Answer{
		RequestID: d.incarnation[:8] + "-" + strconv.FormatInt(d.coordinator.lastNumber.Add(1), 36), Host: d.ID(),
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
	writeJSON(w, http.StatusOK, d.actions.ticket())
}

func (d *Daemon) postAction(w http.ResponseWriter, r *http.Request) {
	var q caller.Action
	if f := decodeRequest(w, r, "action", &q); f != nil {
		d.writeFailure(w, f)
		return
	}
	d.stats.Add("actions", 1)
	out, f := d.actions.run(r.Context(), q)
	if f != nil {
		d.writeFailure(w, f)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// getHosts returns up to maxAddresses hosts that callers can use, in a random
// order, those in the data centre that the caller names first. Only hosts that
// are alive and not in an evacuated data centre are returned. An isolated host
// returns none, so that callers use another host.
func (d *Daemon) getHosts(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.FormValue("data-centre")
	if len(dataCentre) > maxDataCentreBytes {
		d.writeFailure(w, badRequest("data-centre-too-long", "the name of a data centre is shorter"))
		return
	}
	writeJSON(w, http.StatusOK, caller.Addresses{ValidMs: int(d.node.AddressValidity().Milliseconds()), Hosts: d.addresses(dataCentre)})
}

// maxDataCentreBytes is the maximum length of the name of a data centre in a
// query.
const maxDataCentreBytes = 100

func (d *Daemon) addresses(dataCentre string) []caller.Address {
	out := []caller.Address{}
	resolved, assignment := d.coordinator.settings.Load(), d.assignment.Load()
	if resolved == nil || assignment == nil || d.gossip.isolated(time.Now()) {
		return out
	}
	for _, h := range assignment.members.hosts {
		if resolved.DataCentreEvacuated(h.DataCentre) || d.gossip.state(h.ID) != host.Alive {
			continue
		}
		out = append(out, caller.Address{ID: h.ID, Address: h.CallerAddress, Incarnation: h.Incarnation, DataCentre: h.DataCentre})
	}
	out = shuffleAddresses(out, dataCentre)
	return out[:min(len(out), maxAddresses)]
}

func (d *Daemon) getLive(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"host": d.ID(), "incarnation": d.incarnation})
}

// getReady responds with status 200 if the host is ready, and 503 otherwise.
func (d *Daemon) getReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) getCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Counters())
}

// Counters returns all counters, including the bytes sent to and received from
// other daemons and the number of invariant violations.
func (d *Daemon) Counters() map[string]int64 {
	out := map[string]int64{
		"peer-bytes-sent": d.traffic.Sent(), "peer-bytes-received": d.traffic.Received(),
		"invariant-violations": invariant.Violations(),
	}
	d.stats.Each(func(name string, v int64) { out[name] = v })
	return out
}

func (d *Daemon) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, d.Status())
}

// Status returns the status of the host for operators.
func (d *Daemon) Status() caller.Status {
	members := d.fleet.currentMembers()
	s := caller.Status{
		Host: d.ID(), Incarnation: d.incarnation, Revision: d.SettingsRevision(), Epoch: members.Epoch, Hosts: len(members.hosts),
		Proven: d.fleet.leaseValid(time.Now()), StoreOut: d.fleet.storeFailing(), Leaving: d.leaving.Load(),
		Targets: d.ownership.statuses(),
	}
	slices.SortFunc(s.Targets, func(a, b caller.TargetStatus) int { return strings.Compare(a.Target, b.Target) })
	return s
}

// Ready reports whether the host can serve requests: it has settings and an
// assignment of the targets, and is not leaving.
func (d *Daemon) Ready() bool {
	assignment := d.assignment.Load()
	return d.coordinator.settings.Load() != nil && assignment != nil && len(assignment.owners) > 0 && !d.leaving.Load()
}

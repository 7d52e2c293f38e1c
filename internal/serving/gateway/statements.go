package gateway

import (
	"fmt"
	"time"

	"fescuerill/internal/serving/exchange"
)

// presumedColdTime is the time for which a target that accepted no connection counts as cold: until
// the next connection is tried, after an ejection of two seconds at most, and until the report of
// its start is known to all hosts.
const presumedColdTime = 4 * time.Second

// heed applies what a reply, to a request of this host or relayed by another one, tells of its
// target: that the target accepts no connections, or what it says of itself. Requests that wait
// for a target that is leaving or closed go to other targets at once. The gateway is locked.
func (g *Gateway) heed(now time.Time, id string, reply *exchange.Reply) {
	if reply.ConnectionRefused() {
		g.presumeRestart(now, id)
	}
	s := reply.Statement
	if s.Leaving && g.catalog.StateLeaving(now, id, s.Incarnation) {
		g.stats.Add("targets-said-leaving", 1)
		g.logStatement(id, "said-leaving")
		g.pool.RejectWaiting(id)
	}
	if s.ClosedFor <= 0 {
		return
	}
	if g.catalog.StateClosed(now, id, s.Incarnation, s.ClosedFor) {
		g.stats.Add("targets-turned-away", 1)
		g.logStatement(id, fmt.Sprintf("closed-%dms", s.ClosedFor.Milliseconds()))
	}
	if e := g.catalog.Get(id); e != nil && e.Incarnation == s.Incarnation {
		g.tracker.CloseUntil(id, now.Add(g.catalog.ClosedFor(now, e)))
	}
	g.pool.RejectWaiting(id)
}

// presumeRestart has a target that accepted no connection count as cold for a while, if its
// service limits the requests to cold targets.
func (g *Gateway) presumeRestart(now time.Time, id string) {
	e := g.catalog.Get(id)
	if e == nil || g.maxColdRate(e.Service) == 0 {
		return
	}
	if g.catalog.PresumeRestart(now, id, now.Add(presumedColdTime)) {
		g.stats.Add("targets-presumed-cold", 1)
		g.logStatement(id, "refused-connection")
	}
}

// logStatement logs a change of a target that it has told in an answer.
func (g *Gateway) logStatement(id, change string) {
	service, dataCentre := "", ""
	if e := g.catalog.Get(id); e != nil {
		service, dataCentre = e.Service, e.DataCentre
	}
	g.log.Info("targets", "changes", fmt.Sprintf("%s:%s:%s:%s", id, service, dataCentre, change), "known", g.catalog.Len(), "reason", "answer")
}

// statementOf returns what is known of a target from its answers, for a host that asked to
// relay a part to it.
func (g *Gateway) statementOf(id string) exchange.Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.catalog.Get(id)
	if e == nil {
		return exchange.Statement{}
	}
	return exchange.Statement{
		Incarnation: e.Incarnation, Leaving: g.catalog.Leaving(e), ClosedFor: g.catalog.ClosedFor(time.Now(), e),
	}
}

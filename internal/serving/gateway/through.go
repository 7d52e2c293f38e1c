package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/routing/catalog"
	"fescuerill/internal/serving/exchange"
	"fescuerill/internal/serving/relay"
	"fescuerill/internal/serving/replicas"
	"fescuerill/internal/serving/search"
)

const (
	reasonRelayBroken = "relay-broken"
	reasonUnusable    = "target-unusable"
)

// relayed reports whether a send may go through a host of the target's data
// centre: the first sends of searches to warm targets elsewhere. Second sends go
// directly, so that they do not depend on the same host.
func (r *run) relayed(now time.Time, s search.Attempt, k *catalog.Entry) bool {
	return s.Reason == search.First && r.route.IsSearch() && k.DataCentre != r.g.dataCentre && !now.Before(k.ColdUntil)
}

// passage is the parts of a request that go through another host.
type passage struct {
	run    *run
	host   string
	sends  []search.Attempt
	tokens []uint64
	done   []bool
	heard  bool
}

// through asks for parts through a host of a data centre and reports whether there
// is one. The gateway is locked.
func (r *run) through(now time.Time, dataCentre string, sends []search.Attempt) bool {
	g := r.g
	host := g.relayOf(dataCentre)
	if host == "" {
		return false
	}
	p := &passage{run: r, host: host, sends: sends, done: make([]bool, len(sends))}
	ask := relay.Request{
		CallerRequest: &r.ask, SoftDeadline: r.plan.SoftDeadline, Deadline: r.plan.Deadline, MaxRecords: r.route.TopK,
		FlushTime: now.Add(max(relayFlush*r.usual, relayFlushLeast)),
	}
	for _, s := range sends {
		ask.Targets = append(ask.Targets, s.Target)
		p.tokens = append(p.tokens, g.board.Begin(now, s.Target, r.usual))
	}
	cancel, ok := g.links.Send(host, ask, p)
	if !ok {
		p.endAll(now, replicas.Abandoned)
		return false
	}
	g.tally.Add("relay-messages", 1)
	g.tally.Add("relay-parts", len(sends))
	context.AfterFunc(r.ctx, func() {
		if cancel() {
			p.cut()
		}
	})
	return true
}

// relayOf returns a host of the data centre that can be asked for parts, or "".
func (g *Gateway) relayOf(dataCentre string) string {
	hosts := g.fleet.AppendRelays(nil, dataCentre)
	g.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		if g.links.Ready(h) {
			return h
		}
	}
	return ""
}

// endAll ends the parts that have no answer. The gateway is locked.
func (p *passage) endAll(now time.Time, result replicas.Result) {
	for i, s := range p.sends {
		if !p.done[i] {
			p.done[i] = true
			p.run.g.board.End(now, s.Target, p.tokens[i], result, p.run.usual)
		}
	}
}

// valid reports whether the parts are ones that were asked and not told of.
func (p *passage) valid(t relay.Results) bool {
	seen := map[int]bool{}
	for _, part := range t.Parts {
		if part.Index < 0 || part.Index >= len(p.sends) || p.done[part.Index] || seen[part.Index] {
			return false
		}
		seen[part.Index] = true
	}
	return true
}

// HandleResults implements relay.Receiver.
func (p *passage) HandleResults(t relay.Results) {
	r, now := p.run, time.Now()
	r.g.mu.Lock()
	if !p.valid(t) {
		r.g.mu.Unlock()
		p.HandleFailure(errors.New("parts that were not asked"))
		return
	}
	p.heard = true
	together := make([]ended, 0, len(t.Parts))
	records := t.TopRecords
	for _, part := range t.Parts {
		p.done[part.Index] = true
		e := ended{send: p.sends[part.Index], reply: part.Reply, took: part.Elapsed}
		if e.reply.Outcome == search.Good {
			e.reply.Body, records = records, nil
		}
		r.g.board.EndAfter(now, e.send.Target, p.tokens[part.Index], r.result(e.reply, now), r.usual, part.Elapsed)
		together = append(together, e)
	}
	r.g.mu.Unlock()
	for _, e := range together {
		r.count(now, e.send, &e.reply, e.took)
	}
	r.ended <- together
}

// HandleFailure implements relay.Receiver.
func (p *passage) HandleFailure(err error) {
	r, now := p.run, time.Now()
	r.g.tally.Add("relay-broken", 1)
	var open []ended
	r.g.mu.Lock()
	for i, s := range p.sends {
		if !p.done[i] {
			reply := exchange.Reply{Outcome: search.Unknown, Reason: reasonRelayBroken, LocalFailure: true, Err: err}
			open = append(open, ended{send: s, reply: reply})
		}
	}
	p.endAll(now, replicas.Abandoned)
	r.g.mu.Unlock()
	for _, e := range open {
		r.ended <- []ended{e}
	}
}

// cut ends the parts that nobody waits for any more. If the host told of none of
// them, it may be the host that is silent.
func (p *passage) cut() {
	r := p.run
	result := replicas.Abandoned
	if stray := errors.Is(context.Cause(r.ctx), errStray); stray {
		if p.heard {
			result = replicas.Lost
		} else {
			r.g.links.BackOff(p.host)
		}
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	p.endAll(time.Now(), result)
}

// Forward sends a part for another host.
func (g *Gateway) Forward(ctx context.Context, target string, a *exchange.Request, left func() time.Duration) exchange.Reply {
	g.mu.Lock()
	k := g.usable(target)
	g.mu.Unlock()
	if k == nil {
		return exchange.Reply{Outcome: search.NotSent, Reason: reasonUnusable, LocalFailure: true}
	}
	g.tally.Add("relay-forwarded", 1)
	g.parts.Add(1)
	return g.pool.Do(ctx, exchange.Target{ID: k.ID, Address: k.Address}, a, func() time.Duration {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.usable(target) == nil {
			return 0
		}
		return left()
	})
}

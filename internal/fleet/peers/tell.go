package peers

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"fescuerill/host"
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/schema/fleet"
	"fescuerill/owner"
)

const methodItems = "store/items"

// guidedLeast is the number of live hosts from which a data centre has a host of its
// own that reads the store for the others.
const guidedLeast = 4

// errNobody is returned when there is no other host to ask.
var errNobody = errors.New("no other host")

// UpdateSource knows what a host knows of the store.
type UpdateSource interface {
	UpdateSince(now time.Time, after int64, whole bool) (feed.Update, bool)
}

// Serve answers other hosts at the listener until ctx ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener, t UpdateSource) {
	p.feed = t
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		raw, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				p.log.Error("connections of other hosts are no longer taken", "error", err)
			}
			return
		}
		stream := jsonrpc2.NewPlainObjectStream(raw)
		_ = jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(p.handle))
	}
}

func (p *Peers) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodItems || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var since fleet.UpdateRequest
	if err := json.Unmarshal(*r.Params, &since); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	now := time.Now()
	told, ok := p.feed.UpdateSince(now, int64(since.Revision), since.Whole)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "nothing known"}
	}
	m := encode(now, told)
	m.PartsPerSecond = p.tallyLoad(now, since)
	return m, nil
}

func encode(now time.Time, t feed.Update) fleet.UpdateReply {
	out := fleet.UpdateReply{Revision: int(t.Revision), Whole: t.Full, AgeMs: int(t.Age.Milliseconds()), Items: []fleet.StoreItem{}}
	if !t.LastOutage.IsZero() {
		ms := int(now.Sub(t.LastOutage).Milliseconds())
		out.TroubleMs = &ms
	}
	for _, i := range t.Items {
		item := fleet.StoreItem{Key: i.Key, Revision: int(i.Revision)}
		if i.Deleted {
			item.Gone = &i.Deleted
		} else {
			text := base64.StdEncoding.EncodeToString(i.Value)
			item.Value = &text
		}
		out.Items = append(out.Items, item)
	}
	return out
}

func decode(now time.Time, m fleet.UpdateReply) (feed.Update, error) {
	t := feed.Update{Revision: int64(m.Revision), Full: m.Whole, Age: time.Duration(m.AgeMs) * time.Millisecond}
	if m.TroubleMs != nil {
		t.LastOutage = now.Add(-time.Duration(*m.TroubleMs) * time.Millisecond)
	}
	for _, i := range m.Items {
		item := feed.Item{Key: i.Key, Revision: int64(i.Revision), Deleted: i.Gone != nil && *i.Gone}
		if i.Value != nil {
			value, err := base64.StdEncoding.DecodeString(*i.Value)
			if err != nil {
				return t, errors.Wrapf(err, "item %s", i.Key)
			}
			item.Value = value
		}
		t.Items = append(t.Items, item)
	}
	return t, nil
}

// HasLive implements feed.Peers.
func (p *Peers) HasLive() bool {
	_, ok := p.someone()
	return ok
}

// HasReader implements feed.Peers.
func (p *Peers) HasReader() bool {
	_, ok := p.guide()
	return ok
}

// guide returns the host that reads the store for this one, if it is another one.
// A data centre with enough hosts has a guide of its own, the others share one. It is
// one of those with most cores, as it tells all others of each change.
func (p *Peers) guide() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := map[string]int{p.self.DataCentre: 1}
	p.members.Each(func(n host.Update) {
		if p.state(n) == host.Alive {
			sizes[p.centres[n.ID]]++
		}
	})
	group := func(dataCentre string) string {
		if sizes[dataCentre] >= guidedLeast {
			return dataCentre
		}
		return ""
	}
	mine := group(p.self.DataCentre)
	best, cores := p.self.Address, p.self.Cores
	p.members.Each(func(n host.Update) {
		if p.state(n) != host.Alive || group(p.centres[n.ID]) != mine {
			return
		}
		c := p.cores[n.ID]
		if c > cores || c == cores && owner.RendezvousWeight(mine, n.ID) > owner.RendezvousWeight(mine, best) {
			best, cores = n.ID, c
		}
	})
	return best, best != p.self.Address
}

// RendezvousRank returns how many live hosts come before this one for something.
func (p *Peers) RendezvousRank(something string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	mine, n := owner.RendezvousWeight(something, p.self.Address), 0
	p.members.Each(func(news host.Update) {
		if news.State == host.Alive && owner.RendezvousWeight(something, news.ID) > mine {
			n++
		}
	})
	return n
}

func (p *Peers) someone() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.members.RandomAlive(nil, 1, "")
	if len(found) == 0 {
		return "", false
	}
	return found[0], true
}

// FetchUpdate implements feed.Peers.
func (p *Peers) FetchUpdate(ctx context.Context, after int64, whole bool) (feed.Update, error) {
	address, guided := p.guide()
	ok := guided
	if whole || !ok {
		guided = false
		address, ok = p.someone()
	}
	if !ok {
		return feed.Update{}, errNobody
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return feed.Update{}, errors.Wrap(err, "host")
	}
	c := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(raw), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
		}))
	defer func() { _ = c.Close() }()
	var m fleet.UpdateReply
	since := fleet.UpdateRequest{
		Revision: int(after), Whole: whole, From: p.self.Address, DataCentre: p.self.DataCentre, PartsPerSecond: p.load(),
	}
	if err := c.Call(ctx, methodItems, since, &m); err != nil {
		return feed.Update{}, errors.Wrap(err, "host "+address)
	}
	now := time.Now()
	if guided {
		p.toldLoad(now, m.PartsPerSecond)
	}
	return decode(now, m)
}

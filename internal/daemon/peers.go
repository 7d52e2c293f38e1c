package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/link"
	"fescuerill/internal/schema/peer"
)

// callTimeout bounds a call to another daemon.
const callTimeout = time.Second

// peerHandler answers other daemons. It implements link.Handler.
type peerHandler struct {
	daemon *Daemon
}

// HandleParts implements link.Handler.
func (h peerHandler) HandleParts(t *link.Responder, a peer.PartRequests) {
	for i := range a.Queries {
		h.daemon.ownership.ask(t, &a.Queries[i])
	}
	for _, c := range a.Cancels {
		h.daemon.ownership.cancel(t, c)
	}
}

// HandleCall implements link.Handler.
func (h peerHandler) HandleCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	d := h.daemon
	switch method {
	case link.MethodTargets:
		var q peer.TargetStateRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, errors.Wrap(err, method)
		}
		return peer.PartReplies{Parts: []peer.PartReply{}, Targets: d.ownership.states(q.Targets)}, nil
	case link.MethodRelease:
		var r peer.Release
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, errors.Wrap(err, method)
		}
		d.ownership.take(r)
		return struct{}{}, nil
	case link.MethodProbe:
		var p peer.Probe
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errors.Wrap(err, method)
		}
		d.gossip.hear(p)
		return d.gossip.message(), nil
	case link.MethodPull:
		var q peer.PullRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, errors.Wrap(err, method)
		}
		return d.pulled(q)
	case link.MethodCheck:
		var c peer.IndirectProbe
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errors.Wrap(err, method)
		}
		alive := d.gossip.reach(ctx, c.ID)
		c.Alive = &alive
		return c, nil
	default:
		return nil, errors.Errorf("daemon: unknown method %q", method)
	}
}

// HandleProtocolError implements link.Handler.
func (h peerHandler) HandleProtocolError(err error) {
	h.daemon.tally.Add("peers-dropped", 1)
	h.daemon.log.Warn("peer dropped", "error", err)
}

// linkTo returns the link to a host, or nil.
func (d *Daemon) linkTo(id string) *link.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.links[id]; r != nil {
		return r.link
	}
	return nil
}

// release hands targets to their next owner. When the message is lost, the next
// owner waits until the lease of this host has lapsed.
func (d *Daemon) release(to string, r peer.Release) {
	l := d.linkTo(to)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var done struct{}
	if err := l.Call(ctx, link.MethodRelease, r, &done); err != nil {
		d.log.Warn("release not delivered", "to", to, "error", err)
	}
}

// discoverEvery is how often the states of targets that are not known are
// asked for.
const discoverEvery = 250 * time.Millisecond

// discover is the duty that asks the owners for the states of targets of which
// nothing is known.
func (d *Daemon) discover(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, discoverEvery)
		for id, paths := range d.unknownTargets() {
			d.askStates(ctx, id, paths)
		}
	}
}

func (d *Daemon) unknownTargets() map[string][]string {
	v, division := d.entry.view.Load(), d.division.Load()
	unknown := map[string][]string{}
	if v == nil || division == nil {
		return unknown
	}
	for _, s := range v.Services() {
		for _, b := range s.Targets() {
			if id := division.owners[b.Path()]; id != "" && d.entry.catalog.Version(b.Path()) == 0 {
				unknown[id] = append(unknown[id], b.Path())
			}
		}
	}
	return unknown
}

func (d *Daemon) askStates(ctx context.Context, id string, paths []string) {
	if id == d.node.ID() {
		d.entry.HandleReplies(peer.PartReplies{Targets: d.ownership.states(paths)})
		return
	}
	l := d.linkTo(id)
	if l == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var t peer.PartReplies
	if l.Call(limited, link.MethodTargets, peer.TargetStateRequest{Targets: paths}, &t) == nil {
		d.entry.HandleReplies(t)
	}
}

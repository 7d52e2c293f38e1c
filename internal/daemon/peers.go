package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/link"
	"fescuerill/internal/schema/peer"
)

// callTimeout limits the time of a call to another daemon.
const callTimeout = time.Second

// peerHandler handles the messages of other daemons. It implements
// link.Handler.
type peerHandler struct {
	daemon *Daemon
}

// HandleParts implements link.Handler.
func (h peerHandler) HandleParts(r *link.Responder, requests peer.PartRequests) {
	for i := range requests.Queries {
		h.daemon.ownership.handleParts(r, &requests.Queries[i])
	}
	for _, c := range requests.Cancels {
		h.daemon.ownership.cancel(r, c)
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
		d.ownership.handleRelease(r)
		return struct{}{}, nil
	case link.MethodProbe:
		var p peer.Probe
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, errors.Wrap(err, method)
		}
		d.gossip.handleProbe(p)
		return d.gossip.newProbe(), nil
	case link.MethodPull:
		var q peer.PullRequest
		if err := json.Unmarshal(params, &q); err != nil {
			return nil, errors.Wrap(err, method)
		}
		return d.pullReply(q)
	case link.MethodIndirectProbe:
		var probe peer.IndirectProbe
		if err := json.Unmarshal(params, &probe); err != nil {
			return nil, errors.Wrap(err, method)
		}
		alive := d.gossip.probeHost(ctx, probe.ID)
		probe.Alive = &alive
		return probe, nil
	default:
		return nil, errors.Errorf("daemon: unknown method %q", method)
	}
}

// HandleProtocolError implements link.Handler.
func (h peerHandler) HandleProtocolError(err error) {
	h.daemon.stats.Add("peers-dropped", 1)
	h.daemon.log.Warn("closing connection after an invalid message or a failed call of a peer", "error", err)
}

// linkTo returns the link to a host, or nil if there is none.
func (d *Daemon) linkTo(id string) *link.Link {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.links[id]; r != nil {
		return r.link
	}
	return nil
}

// release tells the new owner that this host no longer uses the targets. If the
// message is lost, the new owner waits until the lease of this host has
// expired.
func (d *Daemon) release(to string, r peer.Release) {
	l := d.linkTo(to)
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var done struct{}
	if err := l.Call(ctx, link.MethodRelease, r, &done); err != nil {
		d.log.Warn("release of targets not delivered to new owner", "to", to, "error", err)
	}
}

// discoverInterval is how often unknown states of targets are requested.
const discoverInterval = 250 * time.Millisecond

// discoverLoop requests the states of targets that have never been reported
// from their owners.
func (d *Daemon) discoverLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, discoverInterval)
		for id, paths := range d.unknownTargets() {
			d.requestStates(ctx, id, paths)
		}
	}
}

func (d *Daemon) unknownTargets() map[string][]string {
	resolved, assignment := d.coordinator.settings.Load(), d.assignment.Load()
	unknown := map[string][]string{}
	if resolved == nil || assignment == nil {
		return unknown
	}
	for _, s := range resolved.Services() {
		for _, t := range s.Targets() {
			if id := assignment.owners[t.Path()]; id != "" && d.coordinator.catalog.Version(t.Path()) == 0 {
				unknown[id] = append(unknown[id], t.Path())
			}
		}
	}
	return unknown
}

func (d *Daemon) requestStates(ctx context.Context, id string, paths []string) {
	if id == d.node.ID() {
		d.coordinator.HandleReplies(peer.PartReplies{Targets: d.ownership.states(paths)})
		return
	}
	l := d.linkTo(id)
	if l == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.PartReplies
	if l.Call(callCtx, link.MethodTargets, peer.TargetStateRequest{Targets: paths}, &reply) == nil {
		d.coordinator.HandleReplies(reply)
	}
}

package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"fescuerill/internal/link"
	"fescuerill/internal/schema/peer"
	"fescuerill/internal/schema/platform"
	"fescuerill/settings"
)

// pull fetches newer settings and a newer member list from another host and
// installs them.
func (d *Daemon) pull(ctx context.Context, l *link.Link) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := peer.PullRequest{Revision: d.settings.revision(), Epoch: d.fleet.currentMembers().Epoch}
	var p peer.PullReply
	if err := l.Call(callCtx, link.MethodPull, q, &p); err != nil {
		d.stats.Add("pulls-failed", 1)
		return
	}
	d.stats.Add("pulls", 1)
	if err := d.handlePulledSettings(callCtx, l, p); err != nil {
		d.stats.Add("pulls-unusable", 1)
		d.log.Warn("cannot install settings pulled from another host", "error", err)
	}
	if err := d.handlePulledMembers(p); err != nil {
		d.stats.Add("pulls-unusable", 1)
		d.log.Warn("cannot install member list pulled from another host", "error", err)
	}
}

// handlePulledSettings installs pulled settings. If a delta does not match the
// manifest in force, the full manifest is requested.
func (d *Daemon) handlePulledSettings(ctx context.Context, l *link.Link, p peer.PullReply) error {
	m, err := d.settings.handlePullReply(p)
	if errors.Is(err, settings.ErrDeltaMismatch) {
		d.stats.Add("pulls-whole", 1)
		full := true
		p = peer.PullReply{}
		if err := l.Call(ctx, link.MethodPull, peer.PullRequest{Revision: d.settings.revision(), Epoch: d.fleet.currentMembers().Epoch, Whole: &full}, &p); err != nil {
			return err
		}
		m, err = d.settings.handlePullReply(p)
	}
	if err != nil || m.Revision == 0 {
		return err
	}
	if missing := d.settings.missingContents(m); len(missing) > 0 {
		var parts peer.PullReply
		if l.Call(ctx, link.MethodPull, peer.PullRequest{Parts: missing}, &parts) == nil {
			d.settings.addContents(parts.Parts)
		}
	}
	return d.settings.install(ctx, m)
}

func (d *Daemon) handlePulledMembers(p peer.PullReply) error {
	if p.Members == nil {
		return nil
	}
	var m platform.MembershipChange
	if err := json.Unmarshal([]byte(*p.Members), &m); err != nil {
		return errors.Wrap(err, "daemon: decode member list")
	}
	current := d.fleet.currentMembers()
	if m.Epoch <= current.Epoch {
		return nil
	}
	members, err := current.apply(m)
	if err != nil && p.Roster != nil {
		members, err = decodeMemberList(m, *p.Roster)
	}
	if err == nil {
		d.fleet.installMembers(members, 0, time.Now())
	}
	return err
}

// pullReply returns the reply to a host that pulls: the settings and the member
// list if they are newer than that host's.
func (d *Daemon) pullReply(q peer.PullRequest) (peer.PullReply, error) {
	if len(q.Parts) > 0 {
		return peer.PullReply{Parts: d.settings.contentsOf(q.Parts)}, nil
	}
	p, err := d.settings.pullReply(q)
	if err != nil {
		return p, err
	}
	members := d.fleet.currentMembers()
	if members.Epoch <= q.Epoch {
		return p, nil
	}
	text, err := json.Marshal(members.MembershipChange)
	if err != nil {
		return p, errors.Wrap(err, "daemon: encode member list")
	}
	p.Members = new(string(text))
	if members.Epoch > q.Epoch+1 {
		roster, _, err := encodeRoster(members.hosts)
		if err != nil {
			return p, err
		}
		p.Roster = &roster
	}
	return p, nil
}

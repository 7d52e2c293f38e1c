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
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := peer.Pull{Revision: d.settings.revision(), Epoch: d.fleet.currentMembers().Epoch}
	var p peer.Pulled
	if err := l.Call(limited, link.MethodPull, q, &p); err != nil {
		d.stats.Add("pulls-failed", 1)
		return
	}
	d.stats.Add("pulls", 1)
	if err := d.handlePulledSettings(limited, l, p); err != nil {
		d.stats.Add("pulls-unusable", 1)
		d.log.Warn("settings of another host not usable", "error", err)
	}
	if err := d.handlePulledMembers(p); err != nil {
		d.stats.Add("pulls-unusable", 1)
		d.log.Warn("record of another host not usable", "error", err)
	}
}

// handlePulledSettings installs pulled settings. If a delta does not match the
// manifest in force, the full manifest is requested.
func (d *Daemon) handlePulledSettings(ctx context.Context, l *link.Link, p peer.Pulled) error {
	m, err := d.settings.handlePullReply(p)
	if errors.Is(err, settings.ErrSum) {
		d.stats.Add("pulls-whole", 1)
		whole := true
		p = peer.Pulled{}
		if err := l.Call(ctx, link.MethodPull, peer.Pull{Revision: d.settings.revision(), Epoch: d.fleet.currentMembers().Epoch, Whole: &whole}, &p); err != nil {
			return err
		}
		m, err = d.settings.handlePullReply(p)
	}
	if err != nil || m.Revision == 0 {
		return err
	}
	if missing := d.settings.missingContents(m); len(missing) > 0 {
		var parts peer.Pulled
		if l.Call(ctx, link.MethodPull, peer.Pull{Parts: missing}, &parts) == nil {
			d.settings.addContents(parts.Parts)
		}
	}
	return d.settings.install(ctx, m)
}

func (d *Daemon) handlePulledMembers(p peer.Pulled) error {
	if p.Members == nil {
		return nil
	}
	var m platform.Members
	if err := json.Unmarshal([]byte(*p.Members), &m); err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	present := d.fleet.currentMembers()
	if m.Epoch <= present.Epoch {
		return nil
	}
	r, err := present.apply(m)
	if err != nil && p.Roster != nil {
		r, err = decodeMemberList(m, *p.Roster)
	}
	if err == nil {
		d.fleet.installMembers(r, 0, time.Now())
	}
	return err
}

// pullReply returns the reply to a host that pulls: the settings and the member
// list if they are newer than that host's.
func (d *Daemon) pullReply(q peer.Pull) (peer.Pulled, error) {
	if len(q.Parts) > 0 {
		return peer.Pulled{Parts: d.settings.contentsOf(q.Parts)}, nil
	}
	p, err := d.settings.pullReply(q)
	if err != nil {
		return p, err
	}
	r := d.fleet.currentMembers()
	if r.Epoch <= q.Epoch {
		return p, nil
	}
	head, err := json.Marshal(r.Members)
	if err != nil {
		return p, errors.Wrap(err, "daemon: members")
	}
	p.Members = new(string(head))
	if r.Epoch > q.Epoch+1 {
		roster, _, err := encodeRoster(r.hosts)
		if err != nil {
			return p, err
		}
		p.Roster = &roster
	}
	return p, nil
}

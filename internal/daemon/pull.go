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

// pull takes from another host that by which it is ahead: the settings and the
// record of members.
func (d *Daemon) pull(ctx context.Context, l *link.Link) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := peer.PullRequest{Revision: d.keeper.current(), Epoch: d.fleet.present().Epoch}
	var p peer.PullReply
	if err := l.Call(limited, link.MethodPull, q, &p); err != nil {
		d.tally.Add("pulls-failed", 1)
		return
	}
	d.tally.Add("pulls", 1)
	if err := d.takeSettings(limited, l, p); err != nil {
		d.tally.Add("pulls-unusable", 1)
		d.log.Warn("settings of another host not usable", "error", err)
	}
	if err := d.takeRecord(p); err != nil {
		d.tally.Add("pulls-unusable", 1)
		d.log.Warn("record of another host not usable", "error", err)
	}
}

// takeSettings puts pulled settings in force. A change that does not fit is
// asked for again as a whole.
func (d *Daemon) takeSettings(ctx context.Context, l *link.Link, p peer.PullReply) error {
	m, err := d.keeper.pulled(p)
	if errors.Is(err, settings.ErrDeltaMismatch) {
		d.tally.Add("pulls-whole", 1)
		whole := true
		p = peer.PullReply{}
		if err := l.Call(ctx, link.MethodPull, peer.PullRequest{Revision: d.keeper.current(), Epoch: d.fleet.present().Epoch, Whole: &whole}, &p); err != nil {
			return err
		}
		m, err = d.keeper.pulled(p)
	}
	if err != nil || m.Revision == 0 {
		return err
	}
	if missing := d.keeper.missing(m); len(missing) > 0 {
		var parts peer.PullReply
		if l.Call(ctx, link.MethodPull, peer.PullRequest{Parts: missing}, &parts) == nil {
			d.keeper.learn(parts.Parts)
		}
	}
	return d.keeper.adopt(ctx, m)
}

func (d *Daemon) takeRecord(p peer.PullReply) error {
	if p.Members == nil {
		return nil
	}
	var m platform.MembershipChange
	if err := json.Unmarshal([]byte(*p.Members), &m); err != nil {
		return errors.Wrap(err, "daemon: members")
	}
	present := d.fleet.present()
	if m.Epoch <= present.Epoch {
		return nil
	}
	r, err := present.follow(m)
	if err != nil && p.Roster != nil {
		r, err = whole(m, *p.Roster)
	}
	if err == nil {
		d.fleet.install(r, 0, time.Now())
	}
	return err
}

// pulled answers a host that asks for that by which this one is ahead.
func (d *Daemon) pulled(q peer.PullRequest) (peer.PullReply, error) {
	if len(q.Parts) > 0 {
		return peer.PullReply{Parts: d.keeper.contentsOf(q.Parts)}, nil
	}
	p, err := d.keeper.answer(q)
	if err != nil {
		return p, err
	}
	r := d.fleet.present()
	if r.Epoch <= q.Epoch {
		return p, nil
	}
	head, err := json.Marshal(r.MembershipChange)
	if err != nil {
		return p, errors.Wrap(err, "daemon: members")
	}
	p.Members = new(string(head))
	if r.Epoch > q.Epoch+1 {
		roster, _, err := rosterText(r.hosts)
		if err != nil {
			return p, err
		}
		p.Roster = &roster
	}
	return p, nil
}

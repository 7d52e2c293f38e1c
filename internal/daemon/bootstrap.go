package daemon

import (
	"context"
	"time"

	"fescuerill/internal/link"
)

// bootstrapEvery is how often a host without settings asks other hosts.
const bootstrapEvery = time.Second

// bootstrap is the duty that, while the store gives no settings, takes them
// from the hosts on the platform's host list.
func (d *Daemon) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, bootstrapEvery)
		if d.entry.view.Load() != nil && d.division.Load() != nil {
			return
		}
		if d.fleet.list == nil {
			continue
		}
		addresses, err := d.fleet.list.PeerAddresses(ctx)
		if err != nil {
			d.tally.Add("host-list-failed", 1)
			continue
		}
		for id, address := range addresses {
			if id != d.node.ID() && address != "" && d.entry.view.Load() == nil {
				d.pullFrom(ctx, address)
			}
		}
	}
}

// pullFrom pulls over a link that is made for it.
func (d *Daemon) pullFrom(ctx context.Context, address string) {
	l := link.New(d.options.Network, address, d.entry, &d.traffic)
	defer l.Close()
	d.pull(ctx, l)
}

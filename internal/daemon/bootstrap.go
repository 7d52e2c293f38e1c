package daemon

import (
	"context"
	"time"

	"fescuerill/internal/link"
)

// bootstrapInterval is how often a host without settings pulls them from other
// hosts.
const bootstrapInterval = time.Second

// bootstrap pulls the settings from the hosts on the platform's host list until
// the host has settings and an assignment of the targets. It lets a host start
// during an outage of the store.
func (d *Daemon) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, bootstrapInterval)
		if d.coordinator.settings.Load() != nil && d.assignment.Load() != nil {
			return
		}
		if d.fleet.hostList == nil {
			continue
		}
		addresses, err := d.fleet.hostList.PeerAddresses(ctx)
		if err != nil {
			d.stats.Add("host-list-failed", 1)
			continue
		}
		for id, address := range addresses {
			if id != d.node.ID() && address != "" && d.coordinator.settings.Load() == nil {
				d.pullFrom(ctx, address)
			}
		}
	}
}

// pullFrom pulls from a host over a link that is closed afterwards.
func (d *Daemon) pullFrom(ctx context.Context, address string) {
	l := link.New(d.options.Network, address, d.coordinator, &d.traffic)
	defer l.Close()
	d.pull(ctx, l)
}

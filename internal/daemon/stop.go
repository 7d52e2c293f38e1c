package daemon

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// stopPollInterval is how often a stopping daemon looks whether it is done.
	stopPollInterval = 20 * time.Millisecond
	// handoverTimeout bounds how long a stopping daemon waits until all others have
	// adopted a record of members without it.
	handoverTimeout = 20 * time.Second
	// ackPollInterval is how often it asks whether they have.
	ackPollInterval = 200 * time.Millisecond
)

// Stop ends the daemon in order: it leaves the addresses handed out, goes on
// serving until the last answer that names it has run out, hands its targets
// over, finishes every request and gives its lease back. When ctx ends first
// the rest is cut short.
func (d *Daemon) Stop(ctx context.Context) {
	d.leaving.Store(true)
	d.gossip.leave()
	d.log.Info("stopping")
	if err := d.fleet.markLeaving(ctx); err != nil {
		d.log.Warn("leaving mark not written", "error", err)
	}
	d.awaitHandover(ctx)
	// From now on no host names this one.
	pause(ctx, d.node.AddressValidity())
	_ = d.http.Shutdown(ctx)
	d.close(ctx)
	d.log.Info("stopped", "requests", d.stats.Count("requests"))
}

// awaitHandover waits until the daemon owns no target any more, and until all
// other hosts have adopted the record that leaves it out, so that none of them
// names it to callers.
func (d *Daemon) awaitHandover(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for limited.Err() == nil && !d.unlisted() {
		pause(limited, stopPollInterval)
	}
	d.ownership.drains.Wait()
	for limited.Err() == nil && !d.unlistedByAll(limited) {
		pause(limited, ackPollInterval)
	}
}

// unlisted reports whether the record of members does not name this host, or no
// other.
func (d *Daemon) unlisted() bool {
	division := d.assignment.Load()
	if division == nil || len(division.hosts) == 1 {
		return true
	}
	_, member := division.hosts[d.node.ID()]
	return !member
}

// unlistedByAll reports whether every host of the record has acknowledged it.
func (d *Daemon) unlistedByAll(ctx context.Context) bool {
	r := d.fleet.currentMembers()
	s, err := d.fleet.readStoreView(ctx)
	if err != nil {
		return false
	}
	for _, h := range r.hosts {
		if h.ID != d.node.ID() && s.AckedEpochs[h.ID] < r.Epoch {
			return false
		}
	}
	return true
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.http.Close()
	d.closeAll()
}

func (d *Daemon) close(ctx context.Context) {
	d.cancel()
	d.ownership.drains.Wait()
	d.fleet.revokeLease(ctx)
	d.closeAll()
}

func (d *Daemon) closeAll() {
	d.peers.Close()
	d.mu.Lock()
	links := d.links
	d.links = map[string]*remote{}
	d.mu.Unlock()
	for _, r := range links {
		r.link.Close()
	}
	d.goroutines.Wait()
	d.ownership.close()
	d.client.Close()
	if d.fleet.hostList != nil {
		d.fleet.hostList.Close()
	}
}

package daemon

import (
	"context"
	"time"
)

// Timeouts and intervals of a graceful shutdown.
const (
	// stopPollInterval is how often a stopping daemon checks whether the member
	// list still contains it.
	stopPollInterval = 20 * time.Millisecond
	// handoverTimeout limits how long a stopping daemon waits until all other
	// hosts have installed a member list without it.
	handoverTimeout = 20 * time.Second
	// ackPollInterval is how often it reads whether they have.
	ackPollInterval = 200 * time.Millisecond
)

// Stop shuts the daemon down gracefully: it marks the host as leaving, hands
// the targets over, serves callers until the last address list that contains
// the host has expired, finishes all requests and revokes the lease. If ctx
// ends earlier the remaining steps are cut short.
func (d *Daemon) Stop(ctx context.Context) {
	d.leaving.Store(true)
	d.gossip.leave()
	d.log.Info("stopping")
	if err := d.fleet.markLeaving(ctx); err != nil {
		d.log.Warn("cannot mark host as leaving in the store", "error", err)
	}
	d.awaitHandover(ctx)
	// No host returns the address of this one any more. Wait until the address
	// lists that callers already have expire.
	pause(ctx, d.node.AddressValidity())
	_ = d.http.Shutdown(ctx)
	d.close(ctx)
	d.log.Info("stopped", "requests", d.stats.Count("requests"))
}

// awaitHandover waits until the daemon owns no targets and all other hosts have
// installed a member list without it, so that none of them returns its address
// to callers.
func (d *Daemon) awaitHandover(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for waitCtx.Err() == nil && !d.unlisted() {
		pause(waitCtx, stopPollInterval)
	}
	d.ownership.drains.Wait()
	for waitCtx.Err() == nil && !d.unlistedByAll(waitCtx) {
		pause(waitCtx, ackPollInterval)
	}
}

// unlisted reports whether the member list does not contain this host, or
// contains no other host.
func (d *Daemon) unlisted() bool {
	assignment := d.assignment.Load()
	if assignment == nil || len(assignment.hosts) == 1 {
		return true
	}
	_, member := assignment.hosts[d.node.ID()]
	return !member
}

// unlistedByAll reports whether every other host of the member list has
// acknowledged its epoch.
func (d *Daemon) unlistedByAll(ctx context.Context) bool {
	members := d.fleet.currentMembers()
	s, err := d.fleet.readStoreView(ctx)
	if err != nil {
		return false
	}
	for _, h := range members.hosts {
		if h.ID != d.node.ID() && s.AckedEpochs[h.ID] < members.Epoch {
			return false
		}
	}
	return true
}

// Kill stops the daemon at once, as a crash would.
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
	d.peerServer.Close()
	d.mu.Lock()
	links := d.links
	d.links = map[string]*remoteOwner{}
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

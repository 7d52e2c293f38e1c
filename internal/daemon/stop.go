package daemon

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// stopPoll is how often a stopping daemon looks whether it is done.
	stopPoll = 20 * time.Millisecond
	// handoverTime bounds how long a stopping daemon waits for the record of
	// members to leave it out.
	handoverTime = 10 * time.Second
)

// Stop ends the daemon in order: it leaves the addresses handed out, goes on
// serving until the last answer that names it has run out, hands its targets
// over, finishes every request and gives its lease back. When ctx ends first
// the rest is cut short.
func (d *Daemon) Stop(ctx context.Context) {
	d.leaving.Store(true)
	d.gossip.leave()
	d.log.Info("stopping")
	if err := d.fleet.leave(ctx); err != nil {
		d.log.Warn("leaving mark not written", "error", err)
	}
	last := time.Now().Add(d.node.AddressValidity())
	d.awaitHandover(ctx)
	pause(ctx, time.Until(last))
	_ = d.http.Shutdown(ctx)
	d.close(ctx)
	d.log.Info("stopped", "requests", d.tally.Count("requests"))
}

// awaitHandover waits until the daemon owns no target any more.
func (d *Daemon) awaitHandover(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	for limited.Err() == nil {
		if division := d.division.Load(); division == nil {
			return
		} else if _, member := division.hosts[d.node.ID()]; !member || len(division.hosts) == 1 {
			break
		}
		pause(limited, stopPoll)
	}
	d.ownership.drains.Wait()
}

// Kill ends the daemon at once, as a crash would.
func (d *Daemon) Kill() {
	d.cancel()
	_ = d.http.Close()
	d.finish()
}

func (d *Daemon) close(ctx context.Context) {
	d.cancel()
	d.ownership.drains.Wait()
	d.fleet.end(ctx)
	d.finish()
}

func (d *Daemon) finish() {
	d.peers.Close()
	d.mu.Lock()
	links := d.links
	d.links = map[string]*remote{}
	d.mu.Unlock()
	for _, r := range links {
		r.link.Close()
	}
	d.duties.Wait()
	d.ownership.close()
	if d.client != nil {
		d.client.Close()
	}
}

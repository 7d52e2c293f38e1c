package exchange

import (
	"context"
	"time"

	"fescuerill/internal/serving/search"
)

// wakeNext wakes the requests that can be sent now.
func (tc *targetConns) wakeNext(now time.Time) {
	for {
		wake, ok := tc.queue.Next(now)
		if !ok {
			return
		}
		close(wake)
	}
}

// enter waits until a request can be sent to the target. It returns false if its time has
// passed or ctx has ended before.
func (p *Pool) enter(ctx context.Context, id string, timeLeft time.Duration) bool {
	wake := make(chan struct{})
	p.mu.Lock()
	entered := p.targetConns(id).queue.Enter(wake, time.Now().Add(timeLeft))
	p.mu.Unlock()
	if entered {
		return true
	}
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case <-wake:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// A request that was woken in the meantime has to be ended by its sender.
	return !p.targetConns(id).queue.Remove(wake) && isClosed(wake)
}

func isClosed(wake chan struct{}) bool {
	select {
	case <-wake:
		return true
	default:
		return false
	}
}

// leave ends a request that took the fraction of its time, and wakes those that can be
// sent in its place.
func (p *Pool) leave(id string, r *Reply, fraction float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc, now := p.targetConns(id), time.Now()
	tc.queue.Leave(now, r.Outcome == search.Good, fraction)
	tc.wakeNext(now)
}

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
		wake <- true
	}
}

// RejectWaiting ends the requests that wait for a target, which are not sent.
func (p *Pool) RejectWaiting(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	tc := p.targets[id]
	if tc == nil {
		return
	}
	for _, wake := range tc.queue.RemoveAll() {
		wake <- false
	}
}

// enter waits until a request can be sent to the target. It returns the reason why it is not
// sent if its time has passed, ctx has ended or it was rejected before, and "" otherwise.
func (p *Pool) enter(ctx context.Context, id string, timeLeft time.Duration) string {
	// The queue sends one value, and need not wait for the receiver.
	wake := make(chan bool, 1)
	p.mu.Lock()
	entered := p.targetConns(id).queue.Enter(wake, time.Now().Add(timeLeft))
	p.mu.Unlock()
	if entered {
		return ""
	}
	timer := time.NewTimer(timeLeft)
	defer timer.Stop()
	select {
	case send := <-wake:
		return reasonUnlessSent(send)
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targetConns(id).queue.Remove(wake) {
		return reasonTargetBusy
	}
	// A request that was woken in the meantime has to be ended by its sender.
	select {
	case send := <-wake:
		return reasonUnlessSent(send)
	default:
		return reasonTargetBusy
	}
}

// reasonUnlessSent returns the reason why a request that was woken is not sent.
func reasonUnlessSent(send bool) string {
	if send {
		return ""
	}
	return reasonTargetClosed
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

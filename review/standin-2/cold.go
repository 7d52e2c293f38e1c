//go:build review2

package main

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// coldRate is the number of requests a second that a cold backend tolerates.
	coldRate = 5.0
	// searchRate is the number of searches a second of all consumers, as on the sheet of the
	// Winding Rota Search Service.
	searchRate = 90
	// searchConsumers is the number of consumers that send them.
	searchConsumers = 24
)

// coldBound is the number of requests that a cold backend may get in a second.
const coldBound = coldRate*coldOver + coldSlack

// sentTimes holds when the attempts of consumers were sent, by ID. It is safe for concurrent
// use.
type sentTimes struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (s *sentTimes) add(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]time.Time{}
	}
	s.at[id] = at
}

// startConsumers starts the consumers of a search. It returns a function that stops them.
func (p *play) startConsumers(sent *sentTimes) func() {
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	period := searchConsumers * time.Second / searchRate
	for n := range searchConsumers {
		zone := smallZones[n%len(smallZones)].name
		c := newConsumer(p.deployment, fmt.Sprintf("consumer-%s-%d", zone, n/len(smallZones)+1), zone)
		c.onSend = sent.add
		consumers.Go(func() { c.run(stop, "/bapu561/2f", 600*time.Millisecond, 1, period) })
		time.Sleep(period / searchConsumers)
	}
	return func() {
		close(stop)
		consumers.Wait()
	}
}

// judgeCold records the largest number of requests that a backend got in a second of its cold
// time, and reports whether that is more than it may get.
func (p *play) judgeCold(b *backend, from time.Time, sent *sentTimes) bool {
	arrivals := b.between(from, from.Add(coldTime))
	n, at := most(arrivals, sent)
	for _, a := range arrivals {
		p.record.addAt(a.at, "%s reaches backend %s, which is cold", a.id, b.id)
	}
	verdict := "held"
	if float64(n) > coldBound {
		verdict = "BROKEN"
	}
	p.record.addAt(at, "%s: backend %s, cold since %.3f s, gets %d requests in one second from here; %.1f are allowed", verdict, b.id, p.record.at(from), n, coldBound)
	return float64(n) > coldBound
}

// most returns the largest number of requests that were sent and arrived within one second, and
// when that second began.
func most(arrivals []arrival, sent *sentTimes) (int, time.Time) {
	sent.mu.Lock()
	defer sent.mu.Unlock()
	var starts []time.Time
	for _, a := range arrivals {
		starts = append(starts, sent.at[a.id])
	}
	sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
	best, bestAt := 0, time.Now()
	for _, start := range starts {
		n := 0
		for _, a := range arrivals {
			if !sent.at[a.id].Before(start) && a.at.Before(start.Add(time.Second)) {
				n++
			}
		}
		if n > best {
			best, bestAt = n, start
		}
	}
	return best, bestAt
}

// shardCrashCase crashes both backends of a shard. They start again soon after, cold and under
// the IDs that they had.
func shardCrashCase(p *play) (bool, error) {
	const backendsDown = 700 * time.Millisecond
	if err := p.startSearch(coldRate); err != nil {
		return false, err
	}
	var sent sentTimes
	stop := p.startConsumers(&sent)
	defer stop()
	time.Sleep(8 * time.Second)
	if !p.trouble {
		time.Sleep(8 * time.Second)
		return false, nil
	}
	crashed := p.backends[:2]
	for _, b := range crashed {
		b.crash()
	}
	p.record.add("the backends %s and %s of shard %s crash", crashed[0].id, crashed[1].id, crashed[0].service)
	time.Sleep(backendsDown)
	var starts []time.Time
	for _, b := range crashed {
		starts = append(starts, time.Now())
		if err := b.start(time.Now().UnixMilli(), coldTime); err != nil {
			return false, err
		}
		p.record.add("backend %s has started again, cold, and the store has accepted its entry", b.id)
	}
	time.Sleep(coldTime + time.Second)
	broken := false
	for i, b := range crashed {
		broken = p.judgeCold(b, starts[i], &sent) || broken
	}
	return broken, nil
}

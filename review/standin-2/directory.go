//go:build review2

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// directoryJudge counts the answers of directories that name a host which was killed long
// before beside a running one.
type directoryJudge struct {
	record *record
	hosts  []*host

	mu  sync.Mutex
	bad int
}

// goneTime is the time after which a directory must not name a killed host.
const goneTime = contactTime + 3*time.Second

func (j *directoryJudge) judge(at time.Time, from *host, a resolveAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	running := 0
	var named, gone []string
	for _, h := range j.hosts {
		if !slices.Contains(a.Addresses, h.front()) {
			continue
		}
		named = append(named, h.name)
		if h.killedAt.IsZero() {
			running++
		} else if at.Sub(h.killedAt) > goneTime {
			gone = append(gone, fmt.Sprintf("%s, killed %.1f s before", h.name, at.Sub(h.killedAt).Seconds()))
		}
	}
	j.record.addAt(at, "directory of %s answers %s", from.name, strings.Join(named, " "))
	if running > 0 && len(gone) > 0 {
		j.bad++
		j.record.addAt(at, "BROKEN: beside %d running hosts, the directory of %s names %s", running, from.name, strings.Join(gone, "; "))
	}
}

// killAllBut kills all hosts but one at the same moment.
func (j *directoryJudge) killAllBut(survivor *host) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, h := range j.hosts {
		if h == survivor {
			continue
		}
		_ = h.cmd.Process.Kill()
		h.killedAt = now
		j.record.addAt(now, "%s is killed", h.name)
	}
}

// restart starts the killed hosts again.
func (j *directoryJudge) restart() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, h := range j.hosts {
		if h.killedAt.IsZero() {
			continue
		}
		<-h.exited
		if err := h.start(); err != nil {
			return err
		}
		h.killedAt = time.Time{}
		j.record.add("%s is started again", h.name)
	}
	return nil
}

// directoryCase kills all hosts but one at the same moment, a few times. The remaining one goes
// on answering consumers that ask where to connect.
func directoryCase(p *play) (bool, error) {
	const (
		consumersPerZone = 4
		rounds           = 4
		calm             = 9 * time.Second
		down             = 13 * time.Second
		period           = 500 * time.Millisecond
		// allowedAnswers is the number of answers that may name a killed host all the same.
		allowedAnswers = 3
	)
	if err := p.startSearch(0); err != nil {
		return false, err
	}
	j := &directoryJudge{record: p.record, hosts: p.hosts}
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for _, z := range smallZones {
		for n := range consumersPerZone {
			c := newConsumer(p.deployment, fmt.Sprintf("consumer-%s-%d", z.name, n+1), z.name)
			c.onResolve = j.judge
			consumers.Go(func() { c.run(stop, "/bapu561/2f", 600*time.Millisecond, 1, period) })
		}
	}
	for n := range rounds {
		time.Sleep(calm)
		if p.trouble {
			j.killAllBut(p.hosts[n])
		}
		time.Sleep(down)
		if err := j.restart(); err != nil {
			return false, err
		}
	}
	close(stop)
	consumers.Wait()
	p.record.add("%d answers of directories named a host killed over %s before; %d are allowed", j.bad, goneTime, allowedAnswers)
	return j.bad > allowedAnswers, nil
}

package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"fescuerill/target"
)

// Constants of the choice of a target.
const (
	// latencyWeight is the weight of a new sample in the recent latency.
	latencyWeight = 0.2
	// initialLatency stands for the latency of a target that was never asked.
	initialLatency = 5 * time.Millisecond
	// coldPenalty is how much worse than a warm target one is that is not.
	coldPenalty = 8.0
	// unavailablePenalty is the same for one that was lost or leaving when its owner was
	// last heard. Only an ask shows that it is back.
	unavailablePenalty = 1000.0
	// remotePenalty is the same for one in another data centre.
	remotePenalty = 1.2
	// warmUpFraction is the share of choices that go to a target that is not warm
	// although a warm one could be asked, so that it warms up; slowTrickle is
	// the same for one that was slow, so that it is seen to recover.
	warmUpFraction   = 0.15
	recoveryFraction = 0.02
)

// observedTarget is what an entry knows of a target.
type observedTarget struct {
	state    target.State
	known    bool
	inFlight int
	latency  time.Duration
}

// observedTargets is what an entry knows of all targets. Its methods may be called
// from several goroutines.
type observedTargets struct {
	mu      sync.Mutex
	targets map[string]*observedTarget
}

func (s *observedTargets) get(path string) *observedTarget {
	if s.targets == nil {
		s.targets = map[string]*observedTarget{}
	}
	t := s.targets[path]
	if t == nil {
		t = &observedTarget{latency: initialLatency}
		s.targets[path] = t
	}
	return t
}

// started counts a part that is under way.
func (s *observedTargets) started(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(path).inFlight++
}

// finished counts a part that has ended; took is 0 when it was not run.
func (s *observedTargets) finished(path string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(path)
	t.inFlight = max(0, t.inFlight-1)
	if took > 0 {
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	}
}

// abandoned counts a part that is no longer waited for after some time. Had it
// been answered, that would have taken longer.
func (s *observedTargets) abandoned(path string, waited time.Duration) {
	s.mu.Lock()
	late := waited > s.get(path).latency
	s.mu.Unlock()
	if !late {
		waited = 0
	}
	s.finished(path, waited)
}

// setState takes the state of a target from its owner.
func (s *observedTargets) setState(path string, state target.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(path)
	t.state, t.known = state, true
}

// chooser picks targets for one query. It implements query.Chooser.
type chooser struct {
	observed        *observedTargets
	usable          func(path string) bool
	dataCentre      func(path string) string
	localDataCentre string
	random          *rand.Rand
}

// Pick implements query.Chooser.
func (c *chooser) Pick(holders []string, skip func(string) bool) string {
	c.observed.mu.Lock()
	defer c.observed.mu.Unlock()
	draw := c.random.Float64()
	best, bestScore := "", 0.0
	for _, h := range holders {
		if skip(h) || !c.usable(h) {
			continue
		}
		t := c.observed.get(h)
		score := c.score(h, t, draw)
		if best == "" || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score returns how long a part would take, roughly; lower is better.
func (c *chooser) score(path string, t *observedTarget, draw float64) float64 {
	score := float64(t.inFlight+1) * float64(t.latency) * (1 + c.random.Float64()/16)
	if draw < recoveryFraction {
		return c.random.Float64()
	}
	switch {
	case !t.known || t.state == target.Warm:
	case t.state == target.Unreachable || t.state == target.Leaving:
		score *= unavailablePenalty
	case draw < warmUpFraction:
		return 0
	default:
		score *= coldPenalty
	}
	if c.dataCentre(path) != c.localDataCentre {
		score *= remotePenalty
	}
	return score
}

// PickHedge implements query.Chooser.
func (c *chooser) PickHedge(holders []string, skip func(string) bool) string {
	return c.Pick(holders, func(path string) bool {
		if skip(path) {
			return true
		}
		t := c.observed.get(path)
		return !t.known || t.state != target.Warm
	})
}

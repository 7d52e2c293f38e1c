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
	// firstLatency stands for the latency of a target that was never asked.
	firstLatency = 5 * time.Millisecond
	// coldFactor is how much worse than a warm target one is that is not.
	coldFactor = 8.0
	// goneFactor is the same for one that was lost or leaving when its owner was
	// last heard. Only an ask shows that it is back.
	goneFactor = 1000.0
	// farFactor is the same for one in another data centre.
	farFactor = 1.2
	// coldTrickle is the share of choices that go to a target that is not warm
	// although a warm one could be asked, so that it warms up; slowTrickle is
	// the same for one that was slow, so that it is seen to recover.
	coldTrickle = 0.15
	slowTrickle = 0.02
)

// standing is what an entry knows of a target.
type standing struct {
	state   target.State
	known   bool
	under   int
	latency time.Duration
}

// standings is what an entry knows of all targets. Its methods may be called
// from several goroutines.
type standings struct {
	mu      sync.Mutex
	targets map[string]*standing
}

func (s *standings) get(path string) *standing {
	if s.targets == nil {
		s.targets = map[string]*standing{}
	}
	t := s.targets[path]
	if t == nil {
		t = &standing{latency: firstLatency}
		s.targets[path] = t
	}
	return t
}

// asked counts a part that is under way.
func (s *standings) asked(path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(path).under++
}

// answered counts a part that has ended; took is 0 when it was not run.
func (s *standings) answered(path string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(path)
	t.under = max(0, t.under-1)
	if took > 0 {
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	}
}

// gaveUp counts a part that is no longer waited for after some time. Had it
// been answered, that would have taken longer.
func (s *standings) gaveUp(path string, waited time.Duration) {
	s.mu.Lock()
	late := waited > s.get(path).latency
	s.mu.Unlock()
	if !late {
		waited = 0
	}
	s.answered(path, waited)
}

// hear takes the state of a target from its owner.
func (s *standings) hear(path string, state target.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.get(path)
	t.state, t.known = state, true
}

// chooser picks targets for one query. It implements query.Chooser.
type chooser struct {
	standings  *standings
	usable     func(path string) bool
	dataCentre func(path string) string
	own        string
	random     *rand.Rand
}

// Pick implements query.Chooser.
func (c *chooser) Pick(holders []string, skip func(string) bool) string {
	c.standings.mu.Lock()
	defer c.standings.mu.Unlock()
	draw := c.random.Float64()
	best, bestScore := "", 0.0
	for _, h := range holders {
		if skip(h) || !c.usable(h) {
			continue
		}
		t := c.standings.get(h)
		score := c.score(h, t, draw)
		if best == "" || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score returns how long a part would take, roughly; lower is better.
func (c *chooser) score(path string, t *standing, draw float64) float64 {
	score := float64(t.under+1) * float64(t.latency) * (1 + c.random.Float64()/16)
	if draw < slowTrickle {
		return c.random.Float64()
	}
	switch {
	case !t.known || t.state == target.Warm:
	case t.state == target.Unreachable || t.state == target.Leaving:
		score *= goneFactor
	case draw < coldTrickle:
		return 0
	default:
		score *= coldFactor
	}
	if c.dataCentre(path) != c.own {
		score *= farFactor
	}
	return score
}

// PickHedge implements query.Chooser.
func (c *chooser) PickHedge(holders []string, skip func(string) bool) string {
	return c.Pick(holders, func(path string) bool {
		if skip(path) {
			return true
		}
		t := c.standings.get(path)
		return !t.known || t.state != target.Warm
	})
}

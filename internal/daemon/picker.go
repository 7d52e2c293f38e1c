package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"fescuerill/target"
)

// Parameters of the selection of targets.
const (
	// latencyWeight is the weight of a new sample in the moving average of the
	// latency.
	latencyWeight = 0.2
	// initialLatency is the assumed latency of a target without samples.
	initialLatency = 5 * time.Millisecond
	// coldPenalty is the factor on the score of a target that isn't warm.
	coldPenalty = 8.0
	// unavailablePenalty is the factor for a target that was unreachable or
	// leaving when its owner last reported its state. Only a request shows that
	// it is available again.
	unavailablePenalty = 1000.0
	// remotePenalty is the factor for a target in another data centre.
	remotePenalty = 1.2
	// warmUpFraction is the fraction of selections in which a target that isn't
	// warm is preferred, so that it warms up. recoveryFraction is the fraction
	// in which targets are selected at random, so that the recovery of a slow
	// target is noticed.
	warmUpFraction   = 0.15
	recoveryFraction = 0.02
)

// observedTarget is the state of a target as a coordinator observes it.
type observedTarget struct {
	state    target.State
	known    bool
	inFlight int
	latency  time.Duration
}

// observedTargets holds the observed states of all targets. Its methods are
// safe for concurrent use, except get, which is called with mu held.
type observedTargets struct {
	mu      sync.Mutex
	targets map[string]*observedTarget
}

func (o *observedTargets) get(path string) *observedTarget {
	if o.targets == nil {
		o.targets = map[string]*observedTarget{}
	}
	t := o.targets[path]
	if t == nil {
		t = &observedTarget{latency: initialLatency}
		o.targets[path] = t
	}
	return t
}

// started counts a part that is now in flight.
func (o *observedTargets) started(path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.get(path).inFlight++
}

// finished counts a part that is no longer in flight. took is its latency, or 0
// if it did not run.
func (o *observedTargets) finished(path string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.get(path)
	t.inFlight = max(0, t.inFlight-1)
	if took > 0 {
		t.latency += time.Duration(latencyWeight * float64(took-t.latency))
	}
}

// abandoned counts a part that was given up after some time. The time is a
// lower bound of its latency, so it is a sample only if it is above the
// average.
func (o *observedTargets) abandoned(path string, waited time.Duration) {
	o.mu.Lock()
	aboveAverage := waited > o.get(path).latency
	o.mu.Unlock()
	if !aboveAverage {
		waited = 0
	}
	o.finished(path, waited)
}

// setState records the state of a target that its owner reported.
func (o *observedTargets) setState(path string, state target.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.get(path)
	t.state, t.known = state, true
}

// picker selects targets for one query. It implements query.Picker.
type picker struct {
	observed        *observedTargets
	usable          func(path string) bool
	dataCentre      func(path string) string
	localDataCentre string
	random          *rand.Rand
}

// Pick implements query.Picker.
func (p *picker) Pick(holders []string, skip func(string) bool) string {
	p.observed.mu.Lock()
	defer p.observed.mu.Unlock()
	draw := p.random.Float64()
	best, bestScore := "", 0.0
	for _, h := range holders {
		if skip(h) || !p.usable(h) {
			continue
		}
		t := p.observed.get(h)
		score := p.score(h, t, draw)
		if best == "" || score < bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score returns a rough estimate of the latency of a part, multiplied by the
// penalties that apply to the target; lower is better.
func (p *picker) score(path string, t *observedTarget, draw float64) float64 {
	score := float64(t.inFlight+1) * float64(t.latency) * (1 + p.random.Float64()/16)
	if draw < recoveryFraction {
		return p.random.Float64()
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
	if p.dataCentre(path) != p.localDataCentre {
		score *= remotePenalty
	}
	return score
}

// PickHedge implements query.Picker. It selects only from targets that are
// known to be warm.
func (p *picker) PickHedge(holders []string, skip func(string) bool) string {
	return p.Pick(holders, func(path string) bool {
		if skip(path) {
			return true
		}
		t := p.observed.get(path)
		return !t.known || t.state != target.Warm
	})
}

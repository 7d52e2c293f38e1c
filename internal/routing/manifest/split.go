package manifest

// Splitter distributes the requests of routes among the services of their splits by
// smooth weighted round robin: the services get close to their shares in any sequence of
// requests. The zero value is ready to use. It is not safe for concurrent use.
type Splitter struct {
	// credits holds the current weight of each service, by route.
	credits map[string]map[string]float64
}

// Pick returns the service for the next request of the route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	if s.credits == nil {
		s.credits = map[string]map[string]float64{}
	}
	credits := s.credits[r.Name]
	if credits == nil {
		credits = map[string]float64{}
		s.credits[r.Name] = credits
	}
	var best string
	total := 0.0
	for _, w := range r.Split {
		credits[w.Service] += w.Weight
		total += w.Weight
		if best == "" || credits[w.Service] > credits[best] {
			best = w.Service
		}
	}
	credits[best] -= total
	return best
}

// Reconcile drops the state of routes that the current manifest does not contain or
// whose split has changed since the old one.
func (s *Splitter) Reconcile(old, current *Manifest) {
	before := map[string]*Route{}
	if old != nil {
		for _, r := range old.Routes() {
			before[r.Name] = r
		}
	}
	kept := map[string]map[string]float64{}
	for _, r := range current.Routes() {
		b := before[r.Name]
		if b != nil && sameSplit(b.Split, r.Split) && s.credits[r.Name] != nil {
			kept[r.Name] = s.credits[r.Name]
		}
	}
	s.credits = kept
}

func sameSplit(a, b []WeightedService) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

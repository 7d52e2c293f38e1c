package settings

import (
	"strings"

	"fescuerill/internal/schema/tree"
)

// Resolved is the settings of a deployment with all inheritance resolved: services
// and targets with their effective policies. It is immutable and safe for
// concurrent use.
type Resolved struct {
	revision   int
	deployment string
	evacuated  map[string]bool
	services   []*Service
	byService  map[string]*Service
	byTarget   map[string]*Target
}

// Service is a set of targets that together hold the shards of one index.
type Service struct {
	path    string
	policy  Policy
	targets []*Target
}

// Target is one back end.
type Target struct {
	path, address, dataCentre string
	leaving                   bool
	service                   *Service
	policy                    Policy
}

// Resolve returns the tree with all inheritance resolved, as the settings of the
// given revision.
func (t *Tree) Resolve(revision int) *Resolved {
	r := &Resolved{
		revision: revision, deployment: t.raw.Deployment,
		evacuated: map[string]bool{},
		byService: map[string]*Service{}, byTarget: map[string]*Target{},
	}
	for name, dc := range t.raw.DataCentres {
		r.evacuated[name] = dc.State != nil && *dc.State == tree.DataCentreStateOut
	}
	for _, group := range sortedKeys(t.raw.Groups) {
		services := t.raw.Groups[group].Services
		for _, name := range sortedKeys(services) {
			r.addService(t, group, name, services[name])
		}
	}
	return r
}

func (r *Resolved) addService(t *Tree, group, name string, raw tree.Service) {
	s := &Service{path: group + "/" + name, policy: t.effectivePolicy(group, name)}
	for _, key := range sortedKeys(raw.Targets) {
		rawTarget := raw.Targets[key]
		target := &Target{
			path: s.path + "/" + key, address: rawTarget.Address, dataCentre: rawTarget.DataCentre,
			leaving: rawTarget.State != nil && *rawTarget.State == tree.TargetStateLeave,
			service: s, policy: t.effectivePolicy(group, name, key),
		}
		s.targets = append(s.targets, target)
		r.byTarget[target.path] = target
	}
	r.services = append(r.services, s)
	r.byService[s.path] = s
}

func (t *Tree) effectivePolicy(names ...string) Policy {
	merged, _ := mergeLevels(t.levels(names...))
	return newPolicy(merged)
}

// Revision returns the revision under which the settings were accepted.
func (r *Resolved) Revision() int { return r.revision }

// Deployment returns the name of the deployment.
func (r *Resolved) Deployment() string { return r.deployment }

// DataCentreEvacuated reports whether the data centre is evacuated and receives
// no new requests. A data centre that is not in the settings counts as evacuated.
func (r *Resolved) DataCentreEvacuated(name string) bool {
	evacuated, known := r.evacuated[name]
	return evacuated || !known
}

// Services returns all services, sorted by path.
func (r *Resolved) Services() []*Service { return r.services }

// Service returns the service with the path, or nil.
func (r *Resolved) Service(path string) *Service { return r.byService[path] }

// Target returns the target with the path, or nil.
func (r *Resolved) Target(path string) *Target { return r.byTarget[path] }

// TargetCount returns the number of targets.
func (r *Resolved) TargetCount() int { return len(r.byTarget) }

// AppendServices appends the services of a scope to dst: all services if path is
// empty, those of a target group, or a single service.
func (r *Resolved) AppendServices(dst []*Service, path string) []*Service {
	for _, s := range r.services {
		if path == "" || s.path == path || strings.HasPrefix(s.path, path+"/") {
			dst = append(dst, s)
		}
	}
	return dst
}

// AcceptsWork reports whether the target can receive new requests: it is not
// leaving and its data centre is not evacuated.
func (r *Resolved) AcceptsWork(t *Target) bool {
	return !t.leaving && !r.DataCentreEvacuated(t.dataCentre)
}

// Path returns the path of the service.
func (s *Service) Path() string { return s.path }

// Policy returns the effective policy of the service.
func (s *Service) Policy() Policy { return s.policy }

// Targets returns the targets of the service, sorted by name.
func (s *Service) Targets() []*Target { return s.targets }

// Path returns the path of the target.
func (t *Target) Path() string { return t.path }

// Address returns the IP address and port of the target.
func (t *Target) Address() string { return t.address }

// DataCentre returns the data centre of the target.
func (t *Target) DataCentre() string { return t.dataCentre }

// Leaving reports whether operators have marked the target as leaving.
func (t *Target) Leaving() bool { return t.leaving }

// Service returns the service to which the target belongs.
func (t *Target) Service() *Service { return t.service }

// Policy returns the effective policy of the target.
func (t *Target) Policy() Policy { return t.policy }

package settings

import (
	"strings"

	"fescuerill/internal/schema/tree"
)

// Resolved is the settings of a deployment as the daemons use them: services and
// targets with their effective policies. It is not changed once made, so that
// goroutines may share it.
type Resolved struct {
	revision   int
	deployment string
	out        map[string]bool
	services   []*Service
	byService  map[string]*Service
	byTarget   map[string]*Target
}

// Service is a set of targets that hold the shards of one index.
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

// Resolve returns the tree as daemons use it, under the given revision.
func (t *Tree) Resolve(revision int) *Resolved {
	v := &Resolved{
		revision: revision, deployment: t.raw.Deployment,
		out:       map[string]bool{},
		byService: map[string]*Service{}, byTarget: map[string]*Target{},
	}
	for name, dc := range t.raw.DataCentres {
		v.out[name] = dc.State != nil && *dc.State == tree.DataCentreStateOut
	}
	for _, group := range sortedKeys(t.raw.Groups) {
		services := t.raw.Groups[group].Services
		for _, name := range sortedKeys(services) {
			v.addService(t, group, name, services[name])
		}
	}
	return v
}

func (v *Resolved) addService(t *Tree, group, name string, raw tree.Service) {
	s := &Service{path: group + "/" + name, policy: t.policy(group, name)}
	for _, one := range sortedKeys(raw.Targets) {
		from := raw.Targets[one]
		b := &Target{
			path: s.path + "/" + one, address: from.Address, dataCentre: from.DataCentre,
			leaving: from.State != nil && *from.State == tree.TargetStateLeave,
			service: s, policy: t.policy(group, name, one),
		}
		s.targets = append(s.targets, b)
		v.byTarget[b.path] = b
	}
	v.services = append(v.services, s)
	v.byService[s.path] = s
}

func (t *Tree) policy(names ...string) Policy {
	merged, _ := inherit(t.levels(names...))
	return resolve(merged)
}

// Revision returns the revision under which the settings were accepted.
func (v *Resolved) Revision() int { return v.revision }

// Deployment returns the name of the deployment.
func (v *Resolved) Deployment() string { return v.deployment }

// DataCentreEvacuated reports whether the data centre takes no new work. A data
// centre that the settings do not name is out.
func (v *Resolved) DataCentreEvacuated(name string) bool {
	out, known := v.out[name]
	return out || !known
}

// Services returns all services in order of their paths.
func (v *Resolved) Services() []*Service { return v.services }

// Service returns the service with the path, or nil.
func (v *Resolved) Service(path string) *Service { return v.byService[path] }

// Target returns the target with the path, or nil.
func (v *Resolved) Target(path string) *Target { return v.byTarget[path] }

// TargetCount returns the number of targets.
func (v *Resolved) TargetCount() int { return len(v.byTarget) }

// AppendServices appends to dst the services of a scope: all for the empty path, those
// of a target group, or one service.
func (v *Resolved) AppendServices(dst []*Service, path string) []*Service {
	for _, s := range v.services {
		if path == "" || s.path == path || strings.HasPrefix(s.path, path+"/") {
			dst = append(dst, s)
		}
	}
	return dst
}

// AcceptsWork reports whether the target may be given new work: neither it nor its
// data centre is on the way out.
func (v *Resolved) AcceptsWork(b *Target) bool {
	return !b.leaving && !v.DataCentreEvacuated(b.dataCentre)
}

// Path returns the path of the service.
func (s *Service) Path() string { return s.path }

// Policy returns the effective policy of the service.
func (s *Service) Policy() Policy { return s.policy }

// Targets returns the targets of the service in order of their names.
func (s *Service) Targets() []*Target { return s.targets }

// Path returns the path of the target.
func (b *Target) Path() string { return b.path }

// Address returns the IP address and port of the target.
func (b *Target) Address() string { return b.address }

// DataCentre returns the data centre in which the target stands.
func (b *Target) DataCentre() string { return b.dataCentre }

// Leaving reports whether operators have asked the target to leave.
func (b *Target) Leaving() bool { return b.leaving }

// Service returns the service to which the target belongs.
func (b *Target) Service() *Service { return b.service }

// Policy returns the effective policy of the target.
func (b *Target) Policy() Policy { return b.policy }

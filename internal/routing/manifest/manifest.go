package manifest

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits bound what a caller may send, how long it may take to send a header and how
// long its connection may be idle. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service is a set of targets that answer alike.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a target takes from all
	// hosts together.
	MaxConnections int
	// MaxColdRate is the number of requests a second that a cold target bears.
	MaxColdRate float64
}

// WeightedService is a service and the share of a route's requests that it is given.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route says how the requests below a path are served. Exactly one of Service,
// Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service serves all requests.
	Service string
	// Split divides the requests among services.
	Split []WeightedService
	// Shards are services that each hold a part of the answer.
	Shards []string
	// TopK is the number of records in the answer of a search.
	TopK int
	// MinCoverage is the least share of the shards that an answer must cover.
	MinCoverage float64
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// MaxAttempts is the number of targets that may be asked, for each shard.
	MaxAttempts int
	// Timeout is how long a request may be kept waiting; 0 sets no bound.
	Timeout time.Duration
	// Priority is how urgent the requests are; 0 is the most urgent.
	Priority int
	// LatencyTarget is the time within which an answer is worth most to the caller.
	LatencyTarget time.Duration
}

// IsSearch reports whether the route asks all shards.
func (r *Route) IsSearch() bool { return len(r.Shards) > 0 }

// MinShards returns the least number of shards that an answer must cover.
func (r *Route) MinShards() int {
	n := 1
	for float64(n)/float64(len(r.Shards)) < r.MinCoverage && n < len(r.Shards) {
		n++
	}
	return n
}

// AppendServices appends to dst the names of all services to which the route leads.
func (r *Route) AppendServices(dst []string) []string {
	if r.Service != "" {
		dst = append(dst, r.Service)
	}
	for _, w := range r.Split {
		dst = append(dst, w.Service)
	}
	return append(dst, r.Shards...)
}

// Manifest is one version of what the operators want served. The zero value
// serves nothing.
type Manifest struct {
	version  int64
	limits   Limits
	routes   []*Route
	byHost   map[string][]*Route
	services map[string]*Service
	// urgent is the rank of the most urgent search.
	urgent int
}

// New returns the manifest with the version, routes, services and limits. It
// keeps the slices.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Manifest {
	m := &Manifest{
		version: version, limits: limits, routes: routes,
		byHost: map[string][]*Route{}, services: map[string]*Service{}, urgent: math.MaxInt,
	}
	for _, r := range routes {
		if r.IsSearch() {
			m.urgent = min(m.urgent, r.Priority)
		}
		m.byHost[r.Host] = append(m.byHost[r.Host], r)
	}
	for _, list := range m.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		m.services[s.Name] = s
	}
	return m
}

// Version returns the number of the version; later versions have higher ones.
func (m *Manifest) Version() int64 { return m.version }

// Limits returns the bounds on what callers send.
func (m *Manifest) Limits() Limits { return m.limits }

// Routes returns all routes. The slice must not be changed.
func (m *Manifest) Routes() []*Route { return m.routes }

// IsLowPriority reports whether a search is less urgent than another one.
func (m *Manifest) IsLowPriority(r *Route) bool { return r.IsSearch() && r.Priority > m.urgent }

// Service returns the service with the name, or nil.
func (m *Manifest) Service(name string) *Service { return m.services[name] }

// Route returns the route of the host with the longest prefix that begins the
// path, or nil.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

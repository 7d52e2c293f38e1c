package manifest

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits bounds the size of requests, the time that a caller has to send a header, and
// the time that its connection can be idle. A zero field sets no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Service is a set of targets that are interchangeable.
type Service struct {
	Name string
	// MaxConnections is the number of connections that a target accepts from all
	// hosts together.
	MaxConnections int
	// MaxColdRate is the number of requests a second that a cold target can handle;
	// 0 sets no limit.
	MaxColdRate float64
}

// WeightedService is a service and its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route describes how requests to a host with a path prefix are served. Exactly one of
// Service, Split and Shards is set.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is the service that serves all requests.
	Service string
	// Split distributes the requests among services by weight.
	Split []WeightedService
	// Shards are the services that each hold one shard of the data; a search queries
	// all of them and merges their answers.
	Shards []string
	// TopK is the number of records in the answer of a search.
	TopK int
	// MinCoverage is the minimum share of the shards that an answer must cover.
	MinCoverage float64
	// Idempotent reports that a request can safely run more than once.
	Idempotent bool
	// MaxAttempts is the maximum number of targets on which a request can run, per
	// shard.
	MaxAttempts int
	// Timeout bounds the time until a request is answered; 0 sets no bound.
	Timeout time.Duration
	// Priority orders the routes; 0 is the highest priority.
	Priority int
	// LatencyTarget is the time within which the caller wants its answer; 0 if there is
	// none.
	LatencyTarget time.Duration
}

// IsSearch reports whether requests are sent to all shards and the answers merged.
func (r *Route) IsSearch() bool { return len(r.Shards) > 0 }

// MinShards returns the minimum number of shards that an answer must cover; it is at
// least 1.
func (r *Route) MinShards() int {
	n := 1
	for float64(n)/float64(len(r.Shards)) < r.MinCoverage && n < len(r.Shards) {
		n++
	}
	return n
}

// AppendServices appends the names of all services of the route to dst.
func (r *Route) AppendServices(dst []string) []string {
	if r.Service != "" {
		dst = append(dst, r.Service)
	}
	for _, w := range r.Split {
		dst = append(dst, w.Service)
	}
	return append(dst, r.Shards...)
}

// Manifest is one version of the routing configuration. The zero value has no routes.
type Manifest struct {
	version  int64
	limits   Limits
	routes   []*Route
	byHost   map[string][]*Route
	services map[string]*Service
	// topPriority is the highest priority of any search route: the lowest number.
	topPriority int
}

// New returns a manifest. It retains the slices, which must not be modified afterwards.
func New(version int64, routes []*Route, services []*Service, limits Limits) *Manifest {
	m := &Manifest{
		version: version, limits: limits, routes: routes,
		byHost: map[string][]*Route{}, services: map[string]*Service{}, topPriority: math.MaxInt,
	}
	for _, r := range routes {
		if r.IsSearch() {
			m.topPriority = min(m.topPriority, r.Priority)
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

// Version returns the version number; later versions have higher numbers.
func (m *Manifest) Version() int64 { return m.version }

// Limits returns the limits on requests and connections of callers.
func (m *Manifest) Limits() Limits { return m.limits }

// Routes returns all routes. The slice must not be modified.
func (m *Manifest) Routes() []*Route { return m.routes }

// IsLowPriority reports whether the route is a search and another search has a higher
// priority.
func (m *Manifest) IsLowPriority(r *Route) bool { return r.IsSearch() && r.Priority > m.topPriority }

// Service returns the service with the name, or nil.
func (m *Manifest) Service(name string) *Service { return m.services[name] }

// Route returns the route of the host with the longest prefix that matches the path,
// or nil.
func (m *Manifest) Route(host, path string) *Route {
	for _, r := range m.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

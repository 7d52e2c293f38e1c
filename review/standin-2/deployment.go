//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// leadTime is the time from the start of the machines to the first traffic.
const leadTime = 10 * time.Second

// route is a route of the manifest.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"hostname"`
	Prefix          string   `json:"prefix"`
	Type            string   `json:"type"`
	TimeoutMs       int      `json:"timeout_ms"`
	LatencyTargetMs int      `json:"latency_target_ms"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	Gather          []string `json:"gather,omitempty"`
	MaxAttempts     int      `json:"max_attempts"`
	TopK            int      `json:"top_k,omitempty"`
	MinCoverage     float64  `json:"min_coverage,omitempty"`
}

// service is a service of the manifest.
type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	WarmupS        float64 `json:"warmup_s"`
	WarmupPerS     float64 `json:"warmup_per_s"`
}

// limits are the limits of the manifest.
type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

// manifest is what the operator writes to op/config.
type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// smallLimits are the limits of the small deployments.
var smallLimits = limits{MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000}

const consumerHost = "pupu76.example"

// deployment is the store, the backends and the hosts of a run.
type deployment struct {
	record *record
	store  *store
	// network holds the first two numbers of all addresses of the run.
	network  string
	address  string
	server   *http.Server
	manifest manifest
	backends []*backend
	hosts    []*host
	stop     chan struct{}
}

// newDeployment starts the store and prepares the hosts of the small zones, with their files
// in a folder.
func newDeployment(dir, program string, r *record) (*deployment, error) {
	d := &deployment{record: r, store: newStore(), stop: make(chan struct{})}
	network, l, err := chooseNetwork()
	if err != nil {
		return nil, err
	}
	d.network = network
	d.address = l.Addr().String()
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.server.Serve(l) }()
	go d.store.run(d.stop)
	d.hosts, err = newHosts(dir, program, network, d.address, smallZones)
	return d, err
}

// addBackend adds and starts a warm backend of a service.
func (d *deployment) addBackend(b *backend) error {
	n := len(d.backends)
	b.id, b.ip = fmt.Sprintf("i-%08x", 0x7f3a0000+n), fmt.Sprintf("%s.%d.%d", d.network, 50+n/200, 1+n%200)
	b.store, b.record = d.store, d.record
	d.backends = append(d.backends, b)
	return b.start(time.Now().UnixMilli(), 0)
}

// startHosts starts all hosts within 0.3 s.
func (d *deployment) startHosts() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond / time.Duration(len(d.hosts)))
	}
	return nil
}

// close ends all processes and servers that the deployment has started.
func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	close(d.stop)
	_ = d.server.Close()
	for _, b := range d.backends {
		_ = b.server.Close()
	}
}

// makeDir returns a new temporary folder.
func makeDir() (string, error) { return os.MkdirTemp("", "review-2-") }

// coldTime is how long a backend of the small deployments is cold after it starts.
const coldTime = 3 * time.Second

// startSearch starts a deployment with a search route and returns when the traffic starts.
func (p *play) startSearch(warmupPerS float64) error {
	if err := p.addSearch(warmupPerS); err != nil {
		return err
	}
	p.putManifest(p.manifest)
	return p.begin()
}

// addSearch adds a search route to the manifest and starts its backends.
func (p *play) addSearch(warmupPerS float64) error {
	const shards, replicas = 8, 2
	r := route{
		Name: "r-kz7ubj6", Host: consumerHost, Prefix: "/bapu561/", Type: "safe", TimeoutMs: 600, LatencyTargetMs: 40, Priority: 2,
		MaxAttempts: 2, TopK: 5, MinCoverage: 0.75,
	}
	p.manifest = manifest{Version: 7, Limits: smallLimits}
	for s := range shards {
		name := fmt.Sprintf("huvo%02d", s)
		r.Gather = append(r.Gather, name)
		p.manifest.Services = append(p.manifest.Services, service{
			Name: name, HealthPath: "/healthz", MaxConnections: 26, Protocol: "h1", WarmupS: coldTime.Seconds(), WarmupPerS: warmupPerS,
		})
		for n := range replicas {
			b := &backend{service: name, zone: smallZones[n].name, concurrency: 2, queue: 12, work: 2500 * time.Microsecond, bodySize: 100}
			if err := p.addBackend(b); err != nil {
				return err
			}
		}
	}
	p.manifest.Routes = []route{r}
	return nil
}

// begin starts the hosts, waits for the start of the traffic and sets the zero of the record.
func (p *play) begin() error {
	if err := p.startHosts(); err != nil {
		return err
	}
	time.Sleep(leadTime)
	p.record.began = time.Now()
	return nil
}

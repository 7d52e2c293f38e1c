package standin

import (
	"fmt"
	"strings"
	"time"

	"fescuerill/internal/network"
)

// Shape describes the size and settings of a deployment.
type Shape struct {
	Name        string
	DataCentres []string
	Groups      []GroupShape
	// Policy is the body of the deployment's policy table, in TOML.
	Policy string
}

// GroupShape describes a target group of Services services with Targets targets
// each. The other fields are the values of the group's policy.
type GroupShape struct {
	Name                                     string
	Services, Targets                        int
	Slots, MaxConnections                    int
	MinConnectInterval                       time.Duration
	MaxBatch, MaxColdBatch, ExchangesPerSlot int
}

// TrustShape returns the deployment of the Kavango Horological Rota Trust.
func TrustShape() Shape {
	return Shape{
		Name: "khomas", DataCentres: []string{"khomas-a", "khomas-b", "khomas-c"},
		Policy: "deadline = \"60ms\"\nhedge-quantile = 0.95\n",
		Groups: []GroupShape{
			{"dispatch-desk", 20, 2, 2, 25, 6 * time.Millisecond, 32, 4, 4},
			{"ledger-bridge", 30, 2, 2, 25, 6 * time.Millisecond, 32, 4, 4},
			{"winder-handset", 1, 3, 6, 110, time.Millisecond, 32, 4, 4},
			{"steward-notices", 1, 3, 6, 110, time.Millisecond, 32, 4, 4},
		},
	}
}

// ExchangeShape returns the deployment of the Batinah Stave Exchange.
func ExchangeShape() Shape {
	return Shape{
		Name: "om-batinah", DataCentres: []string{"om-batinah-a", "om-batinah-b", "om-batinah-c", "om-batinah-d"},
		Policy: "deadline = \"45ms\"\nhedge-quantile = 0.9\n",
		Groups: []GroupShape{
			{"yard-desk", 20, 2, 2, 25, 6 * time.Millisecond, 32, 4, 4},
			{"buyer-portal", 30, 2, 2, 25, 6 * time.Millisecond, 32, 4, 4},
			{"lot-viewer", 1, 6, 6, 50, time.Millisecond, 32, 4, 4},
			{"dispatch", 1, 4, 6, 50, time.Millisecond, 32, 4, 4},
		},
	}
}

// Deployment runs the stand-in targets of a shape. NewDeployment serves them on
// the loopback interface.
type Deployment struct {
	networkFor  func(dataCentre string) network.Network
	shape       Shape
	targets     map[string]*Target
	servers     map[string]*Server
	paths       []string
	dataCentres map[string]string
}

// NewDeployment starts the targets of a shape over TCP. The options give the
// latencies, the seed and whether the targets start warm; their capacity comes
// from the shape.
func NewDeployment(s Shape, c *Corpus, o TargetOptions) (*Deployment, error) {
	return NewDeploymentOn(func(string) network.Network { return network.TCP{} }, s, c, o)
}

// NewDeploymentOn is like NewDeployment but serves each target on the network
// that networkFor returns for its data centre.
func NewDeploymentOn(networkFor func(dataCentre string) network.Network, s Shape, c *Corpus, o TargetOptions) (*Deployment, error) {
	d := &Deployment{networkFor: networkFor, shape: s, targets: map[string]*Target{}, servers: map[string]*Server{}, dataCentres: map[string]string{}}
	for _, g := range s.Groups {
		o.Services += g.Services
	}
	o.Operations = &OperationCounter{}
	service, count := 0, 0
	for _, g := range s.Groups {
		o.Slots, o.MaxBatch, o.ColdSlots, o.MaxColdBatch, o.ExchangesPerSlot = g.Slots, g.MaxBatch, 1, g.MaxColdBatch, g.ExchangesPerSlot
		for i := range g.Services {
			for j := range g.Targets {
				o.Service, o.Index, o.Replicas = service, j, g.Targets
				path := fmt.Sprintf("%s/%s-%02d/%c", g.Name, g.Name, i+1, 'a'+j)
				d.dataCentres[path] = s.DataCentres[count%len(s.DataCentres)]
				count++
				if err := d.startTarget(path, NewTarget(o, c)); err != nil {
					d.Close()
					return nil, err
				}
			}
			service++
		}
	}
	return d, nil
}

func (d *Deployment) startTarget(path string, t *Target) error {
	server, err := ListenOn(d.networkFor(d.dataCentres[path]), "127.0.0.1:0", t)
	if err != nil {
		return err
	}
	d.targets[path], d.servers[path] = t, server
	d.paths = append(d.paths, path)
	return nil
}

// Close stops all targets.
func (d *Deployment) Close() {
	for _, s := range d.servers {
		s.Stop()
	}
}

// TargetPaths returns the paths of all targets (GROUP/SERVICE/TARGET) in the
// order of the shape.
func (d *Deployment) TargetPaths() []string { return d.paths }

// Target returns the target with the path.
func (d *Deployment) Target(path string) *Target { return d.targets[path] }

// Server returns the server of the target with the path.
func (d *Deployment) Server(path string) *Server { return d.servers[path] }

// SetSnapshots sets the numbers of the snapshots that every target holds.
func (d *Deployment) SetSnapshots(numbers ...int) {
	for _, t := range d.targets {
		t.SetSnapshots(numbers...)
	}
}

// Totals returns the counts of all targets added up. MostAtOnce is the maximum
// over the targets.
func (d *Deployment) Totals() TargetCounts {
	var sum TargetCounts
	for _, t := range d.targets {
		c := t.Counts()
		sum.Exchanges += c.Exchanges
		sum.Parts += c.Parts
		sum.Actions += c.Actions
		sum.Shed += c.Shed
		sum.Cancelled += c.Cancelled
		sum.Overruns += c.Overruns
		sum.ColdOverruns += c.ColdOverruns
		sum.Unannounced += c.Unannounced
		sum.Repeated += c.Repeated
		sum.MostAtOnce = max(sum.MostAtOnce, c.MostAtOnce)
	}
	return sum
}

// Settings returns the settings of the deployment as a TOML document.
func (d *Deployment) Settings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "deployment = %q\n[policy]\n%s", d.shape.Name, d.shape.Policy)
	for _, dc := range d.shape.DataCentres {
		fmt.Fprintf(&b, "[data-centres.%s]\nstate = \"in\"\n", dc)
	}
	for _, g := range d.shape.Groups {
		fmt.Fprintf(&b, "[groups.%s.policy]\nslots = %d\nconnections = %d\nconnect-time = %q\nbatch = %d\ncold-batch = %d\nwarm-step = %d\n",
			g.Name, g.Slots, g.MaxConnections, g.MinConnectInterval, g.MaxBatch, g.MaxColdBatch, g.ExchangesPerSlot)
	}
	for _, path := range d.paths {
		names := strings.Split(path, "/")
		fmt.Fprintf(&b, "[groups.%s.services.%s.targets.%s]\naddress = %q\ndata-centre = %q\n",
			names[0], names[1], names[2], d.servers[path].Address(), d.dataCentres[path])
	}
	return b.String()
}

// DataCentre returns the data centre of the target with the path.
func (d *Deployment) DataCentre(path string) string { return d.dataCentres[path] }

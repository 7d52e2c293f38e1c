package bench

import (
	"crypto/rand"
	"fmt"
	"io"
	"runtime"
	"time"

	"fescuerill/internal/schema/platform"
	"fescuerill/owner"
	"fescuerill/settings"
	"fescuerill/snapshot"
)

// stateSize is a size of a deployment for which DaemonState measures a daemon.
type stateSize struct {
	hosts, services, servicesPerQuery int
}

// DaemonState measures, for several sizes of a deployment, the memory that a
// daemon needs for its state, the time that it takes to compute it, the size of
// the roster and the number of targets that change owner when a host leaves. It
// writes a table. Services have two targets and one shard. A query sends to the
// number of services given by the size.
func DaemonState(w io.Writer) error {
	fmt.Fprintf(w, "| daemons | targets | shards a query | settings KB | holdings KB | division KB | division ms | shard map ms | roster bytes | targets moved when a host leaves |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, s := range []stateSize{{9, 53, 53}, {50, 250, 100}, {200, 1000, 400}, {830, 1950, 920}} {
		if err := writeStateRow(w, s); err != nil {
			return err
		}
	}
	return nil
}

func writeStateRow(w io.Writer, s stateSize) error {
	_, text, err := generateTree(s.services, 512)
	if err != nil {
		return err
	}
	t, err := settings.ParseTree("bench.toml", []byte(text))
	if err != nil {
		return err
	}
	before := heapAlloc()
	resolved := t.Resolve(1)
	settingsBytes := heapAlloc() - before
	before = heapAlloc()
	catalog, services := buildCatalog(resolved)
	holdingBytes := heapAlloc() - before
	hosts, targets := hostsAndTargets(resolved, s.hosts)
	before = heapAlloc()
	start := time.Now()
	owners := owner.Assign(nil, hosts, targets)
	assignTime := time.Since(start)
	ownerBytes := heapAlloc() - before
	start = time.Now()
	m := catalog.BestShardMap(services[:s.servicesPerQuery], 0, func(string) bool { return true })
	shardMapTime := time.Since(start)
	fmt.Fprintf(w, "| %d | %d | %d | %.0f | %.0f | %.0f | %.2f | %.2f | %d | %d |\n", s.hosts, len(owners), len(m.Shards()),
		settingsBytes/1e3, holdingBytes/1e3, ownerBytes/1e3, milliseconds(assignTime), milliseconds(shardMapTime), rosterBytes(s.hosts), countMoved(owners, owner.Assign(nil, hosts[1:], targets)))
	runtime.KeepAlive(t)
	runtime.KeepAlive(resolved)
	runtime.KeepAlive(catalog)
	return nil
}

// rosterBytes returns the size in bytes of a roster of n hosts as JSON.
func rosterBytes(n int) int {
	var r platform.Roster
	for i := range n {
		r.Hosts = append(r.Hosts, platform.Member{
			ID: fmt.Sprintf("entry-%d", i), Incarnation: rand.Text(), CallerAddress: "10.12.100.101:7001",
			PeerAddress: "10.12.100.101:7101", DataCentre: "khomas-a", Lease: "lease-1234567", State: "live",
		})
	}
	return jsonSize(r)
}

// countMoved returns the number of targets whose owner differs between before and
// after.
func countMoved(before, after map[string]string) int {
	n := 0
	for path, host := range before {
		if after[path] != host {
			n++
		}
	}
	return n
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// buildCatalog returns a catalog in which every target holds snapshots 1 and 2,
// and the services of the settings.
func buildCatalog(resolved *settings.Resolved) (*snapshot.Catalog, []snapshot.Service) {
	var c snapshot.Catalog
	var services []snapshot.Service
	for _, s := range resolved.Services() {
		service := snapshot.Service{Path: s.Path()}
		for _, t := range s.Targets() {
			service.Targets = append(service.Targets, t.Path())
			c.Update(t.Path(), 1, []snapshot.Holding{snapshot.NewHolding(1, 1, []int{0}), snapshot.NewHolding(2, 1, []int{0})})
		}
		services = append(services, service)
	}
	return &c, services
}

// hostsAndTargets returns n hosts, spread over six data centres, and the targets
// of the settings, as owner.Assign takes them.
func hostsAndTargets(resolved *settings.Resolved, n int) ([]owner.Host, []owner.Target) {
	var hosts []owner.Host
	for i := range n {
		hosts = append(hosts, owner.Host{ID: fmt.Sprintf("entry-%d", i), DataCentre: fmt.Sprintf("khomas-%c", 'a'+i%6)})
	}
	var targets []owner.Target
	for _, s := range resolved.Services() {
		for _, t := range s.Targets() {
			targets = append(targets, owner.Target{Path: t.Path(), Service: s.Path(), DataCentre: t.DataCentre()})
		}
	}
	return hosts, targets
}

// heapAlloc returns the bytes of heap allocated after two garbage collections.
func heapAlloc() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

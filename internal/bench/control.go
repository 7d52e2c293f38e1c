package bench

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"fescuerill/internal/standin"
	"fescuerill/internal/trial"
)

// Times of the control-plane measurements: the wait before one, and its duration.
const (
	stabiliseTime = 3 * time.Second
	measureTime   = 10 * time.Second
)

// ControlPlaneCost holds the cost of the control plane for a number of daemons.
type ControlPlaneCost struct {
	// Hosts is the number of daemons.
	Hosts int
	// BytesPerDaemon is the number of bytes per second that a daemon sends to and
	// receives from other daemons and the store.
	BytesPerDaemon float64
	// CPUShare is the fraction of a core that a daemon uses, including its share
	// of the CPU time of the stand-ins.
	CPUShare float64
	// MemoryPerDaemon is the heap and stack memory in use, in bytes per daemon,
	// including its share of the stand-ins.
	MemoryPerDaemon float64
	// StoreCalls is the number of calls per second to the store by kind, for all
	// daemons together.
	StoreCalls map[string]float64
	// SettingsDelay is the time from a change of the settings until the last
	// daemon has applied it.
	SettingsDelay time.Duration
}

// ControlPlane measures the cost of the control plane for the given numbers of
// daemons, without queries, and writes a table. All daemons run in this process,
// each with its own connections.
func ControlPlane(w io.Writer, sizes []int, lease time.Duration) ([]ControlPlaneCost, error) {
	fmt.Fprintf(w, "| daemons | control bytes/s a daemon | core share a daemon | heap MB a daemon | store writes/s | store reads/s | watches/s | in force after |\n|---|---|---|---|---|---|---|---|\n")
	var out []ControlPlaneCost
	for _, n := range sizes {
		p, err := measureControlPlane(n, lease)
		if err != nil {
			return out, err
		}
		out = append(out, p)
		writes := p.StoreCalls["put-leases"] + p.StoreCalls["put-keys"] + p.StoreCalls["post-leases"]
		fmt.Fprintf(w, "| %d | %.0f | %.4f | %.1f | %.2f | %.2f | %.2f | %s |\n", n, p.BytesPerDaemon, p.CPUShare, p.MemoryPerDaemon/1e6,
			writes, p.StoreCalls["get-keys"]+p.StoreCalls["get-list"], p.StoreCalls["get-watch"], p.SettingsDelay.Round(time.Millisecond))
	}
	return out, nil
}

func measureControlPlane(n int, lease time.Duration) (ControlPlaneCost, error) {
	shape := standin.TrustShape()
	before := memoryInUse()
	cluster, err := trial.Start(trial.Options{Shape: shape, Hosts: n, LeaseTime: lease, Target: standin.TargetOptions{BaseLatency: time.Millisecond, StartWarm: true}})
	if err != nil {
		return ControlPlaneCost{}, err
	}
	defer cluster.Close()
	time.Sleep(stabiliseTime)
	p := ControlPlaneCost{Hosts: n, StoreCalls: map[string]float64{}}
	p.MemoryPerDaemon = (memoryInUse() - before) / float64(n)
	cluster.Store().TakeCallCounts()
	bytes, cpu, start := controlBytes(cluster), cpuTime(), time.Now()
	time.Sleep(measureTime)
	seconds := time.Since(start).Seconds()
	p.BytesPerDaemon = (controlBytes(cluster) - bytes) / seconds / float64(n)
	p.CPUShare = (cpuTime() - cpu).Seconds() / seconds / float64(n)
	for kind, calls := range cluster.Store().TakeCallCounts() {
		p.StoreCalls[kind] = float64(calls) / seconds
	}
	p.SettingsDelay, err = measureSettingsDelay(cluster)
	return p, err
}

// measureSettingsDelay changes the settings and returns the time until every
// daemon has applied the change, or the time waited if that exceeds a minute.
func measureSettingsDelay(cluster *trial.Cluster) (time.Duration, error) {
	start := time.Now()
	if err := cluster.ApplySettings(cluster.Deployment().Settings() + "\n[groups.dispatch-desk.services.dispatch-desk-01.policy]\nqueue = 100\n"); err != nil {
		return 0, err
	}
	for {
		behind := 0
		for _, d := range cluster.Daemons() {
			if d.SettingsRevision() < 2 {
				behind++
			}
		}
		if behind == 0 || time.Since(start) > time.Minute {
			return time.Since(start), nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// controlBytes returns the number of bytes that the daemons have exchanged with
// each other and with the store so far.
func controlBytes(cluster *trial.Cluster) float64 {
	sum := 0.0
	for _, d := range cluster.Daemons() {
		sum += float64(d.PeerTraffic().Sent() + d.PeerTraffic().Received() + d.StoreBytes())
	}
	return sum
}

// memoryInUse returns the heap and stack memory in use by this process, in bytes,
// after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

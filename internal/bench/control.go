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

// Times of the control measurements.
const (
	stabiliseTime = 3 * time.Second
	measureTime   = 10 * time.Second
)

// ControlPoint is what control costs at a number of daemons.
type ControlPoint struct {
	Hosts int
	// BytesPerDaemon is sent and received, to daemons and to the store, a
	// second.
	BytesPerDaemon float64
	// CPUShare is of a core, for one daemon, with its share of the stand-ins.
	CPUShare float64
	// HeapPerDaemon is in bytes.
	HeapPerDaemon float64
	// StoreCalls is by kind, a second, for the whole fleet.
	StoreCalls map[string]float64
	// InForce is how long a change took until the last daemon had it.
	InForce time.Duration
}

// Control measures fleets of the given sizes without queries and writes a
// table. Each daemon runs in this process with its own links.
func Control(w io.Writer, sizes []int, lease time.Duration) ([]ControlPoint, error) {
	fmt.Fprintf(w, "| daemons | control bytes/s a daemon | core share a daemon | heap MB a daemon | store writes/s | store reads/s | watches/s | in force after |\n|---|---|---|---|---|---|---|---|\n")
	var out []ControlPoint
	for _, n := range sizes {
		p, err := measureControlPlane(n, lease)
		if err != nil {
			return out, err
		}
		out = append(out, p)
		writes := p.StoreCalls["put-leases"] + p.StoreCalls["put-keys"] + p.StoreCalls["post-leases"]
		fmt.Fprintf(w, "| %d | %.0f | %.4f | %.1f | %.2f | %.2f | %.2f | %s |\n", n, p.BytesPerDaemon, p.CPUShare, p.HeapPerDaemon/1e6,
			writes, p.StoreCalls["get-keys"]+p.StoreCalls["get-list"], p.StoreCalls["get-watch"], p.InForce.Round(time.Millisecond))
	}
	return out, nil
}

func measureControlPlane(n int, lease time.Duration) (ControlPoint, error) {
	shape := standin.TrustShape()
	before := memoryInUse()
	run, err := trial.Start(trial.Options{Shape: shape, Hosts: n, LeaseTime: lease, Target: standin.TargetOptions{Base: time.Millisecond, Warm: true}})
	if err != nil {
		return ControlPoint{}, err
	}
	defer run.Close()
	time.Sleep(stabiliseTime)
	p := ControlPoint{Hosts: n, StoreCalls: map[string]float64{}}
	p.HeapPerDaemon = (memoryInUse() - before) / float64(n)
	run.Store().Calls()
	bytes, cpu, began := controlBytes(run), cpuTime(), time.Now()
	time.Sleep(measureTime)
	took := time.Since(began).Seconds()
	p.BytesPerDaemon = (controlBytes(run) - bytes) / took / float64(n)
	p.CPUShare = (cpuTime() - cpu).Seconds() / took / float64(n)
	for kind, calls := range run.Store().Calls() {
		p.StoreCalls[kind] = float64(calls) / took
	}
	p.InForce, err = measureSettingsDelay(run)
	return p, err
}

// measureSettingsDelay applies a change and waits until every daemon has it in force.
func measureSettingsDelay(run *trial.Trial) (time.Duration, error) {
	began := time.Now()
	if err := run.Apply(run.Deployment().Settings() + "\n[groups.dispatch-desk.services.dispatch-desk-01.policy]\nqueue = 100\n"); err != nil {
		return 0, err
	}
	for {
		behind := 0
		for _, d := range run.Daemons() {
			if d.Revision() < 2 {
				behind++
			}
		}
		if behind == 0 || time.Since(began) > time.Minute {
			return time.Since(began), nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func controlBytes(run *trial.Trial) float64 {
	sum := 0.0
	for _, d := range run.Daemons() {
		sum += float64(d.Traffic().Sent() + d.Traffic().Received() + d.StoreBytes())
	}
	return sum
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of a host, the same on all machines.
const (
	frontPort     = "8104"
	readyPort     = "8108"
	controlPort   = "8106"
	directoryPort = "8100"
)

// machine is a machine of the system. It runs the program of the deploy file.
type machine struct {
	name, ip, zone string
	file, log      string
	command        *exec.Cmd
	exited         chan struct{}
}

func (m *machine) front() string     { return net.JoinHostPort(m.ip, frontPort) }
func (m *machine) ready() string     { return net.JoinHostPort(m.ip, readyPort) }
func (m *machine) directory() string { return net.JoinHostPort(m.ip, directoryPort) }

// writeSettings writes the settings file of a machine.
func (m *machine) writeSettings(storeAddress string, seeds []string) error {
	text, err := json.MarshalIndent(map[string]any{
		"node_name": m.name, "role": "host", "machine_class": "edge", "serves": []string{"edge", "directory", "control_plane"},
		"ip": m.ip, "zone": m.zone, "region": "khomas",
		"zones": map[string]string{"khomas-a": "khomas", "khomas-b": "khomas", "khomas-c": "khomas"},
		"listen_addrs": map[string]string{
			"front": m.front(), "ready": m.ready(), "control": net.JoinHostPort(m.ip, controlPort), "directory": m.directory(),
		},
		"port_range": []int{7380, 7395}, "seeds": seeds, "bootstrap": true, "tolerated": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
		"policies":        []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"nodes": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_staleness_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 3000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "skew_max_ms": 12000, "retry_budget_ratio": 0.2,
			"retry_window_s": 10, "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.file, text, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (m *machine) start() error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.command = exec.Command("target/fescuerill", "host")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FESCUERILL_NODE_FILE=" + m.file}
	m.command.Stdout, m.command.Stderr = out, out
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(m.command, m.exited)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) { _ = m.command.Process.Signal(s) }

// running reports whether the process has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// newMachines returns machines in the zones with the given numbers of them, with settings files
// in a folder.
func newMachines(folder string, network int, counts map[string]int, storeAddress string) ([]*machine, error) {
	var all []*machine
	for z, zone := range []string{"khomas-a", "khomas-b", "khomas-c"} {
		for n := range counts[zone] {
			name := fmt.Sprintf("edge-%s-%d", zone, n+1)
			all = append(all, &machine{
				name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", network, z+1, n+1),
				file: filepath.Join(folder, name+".json"), log: filepath.Join(folder, name+".log"),
			})
		}
	}
	var seeds []string
	for _, m := range all[:min(3, len(all))] {
		seeds = append(seeds, net.JoinHostPort(m.ip, controlPort))
	}
	for _, m := range all {
		if err := m.writeSettings(storeAddress, seeds); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// freeNetwork returns a number n such that the ports of machines at 127.n.x.y are free.
func freeNetwork() (int, error) {
	for i := range 100 {
		n := 100 + (os.Getpid()+i)%100
		l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.%d.1.1", n), frontPort))
		if err == nil {
			_ = l.Close()
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// waitFor waits until a condition holds and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

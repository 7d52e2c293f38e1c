//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// settingsVariable names the settings file for a host.
const settingsVariable = "FESCUERILL_NODE_FILE"

// ports are the ports that all hosts of a run use, each on its own loopback address.
type ports struct {
	front, ready, control, directory, first, last int
}

// portCount is the number of consecutive ports of a run.
const portCount = 8

// metricsPort is the port of the metrics in the deploy file.
const metricsPort = 9464

// chooseNetwork returns the first two numbers of loopback addresses of which no other run of
// this program uses any. The listener holds them until it is closed.
func chooseNetwork() (string, net.Listener, error) {
	for _, n := range rand.Perm(200) {
		network := fmt.Sprintf("127.%d", n+20)
		if l, err := listen(network + ".100.1:0"); err == nil {
			if lock, err := listen(network + ".100.2:" + strconv.Itoa(metricsPort)); err == nil {
				lock.Close()
				return network, l, nil
			}
			l.Close()
		}
	}
	return "", nil, fmt.Errorf("no free loopback addresses")
}

// listen opens a TCP listener at an address.
func listen(address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address)
}

// choosePorts returns consecutive ports that are free at an address.
func choosePorts(ip string) (ports, error) {
	for base := 23_000; base < 31_000; base += portCount {
		if allFree(ip, base) {
			return ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, first: base + 4, last: base + portCount - 1}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports at %s", ip)
}

func allFree(ip string, base int) bool {
	for p := base; p < base+portCount; p++ {
		l, err := listen(net.JoinHostPort(ip, strconv.Itoa(p)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// host is a process of the project on a machine of its own, a loopback address.
type host struct {
	name, zone, ip string
	program        string
	ports          ports
	settings       string
	log            string
	cmd            *exec.Cmd
	exited         chan struct{}
	startedAt      time.Time
	// killedAt is when the process was killed for good, or zero.
	killedAt time.Time
}

func (h *host) front() string     { return net.JoinHostPort(h.ip, strconv.Itoa(h.ports.front)) }
func (h *host) directory() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.ports.directory)) }

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	h.cmd = exec.CommandContext(context.Background(), h.program, "host")
	h.cmd.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.startedAt = time.Now()
	exited := make(chan struct{})
	h.exited = exited
	go func(c *exec.Cmd) {
		_ = c.Wait()
		close(exited)
	}(h.cmd)
	return nil
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// zoneShape is a zone and the number of its hosts.
type zoneShape struct {
	name  string
	hosts int
}

// smallZones are the zones of the Winding Rota Search Service.
var smallZones = []zoneShape{{"khomas-a", 4}, {"khomas-b", 2}, {"khomas-c", 3}}

const region = "khomas"

// newHosts writes the settings files of the hosts of the zones and returns the hosts, which
// are not started.
func newHosts(dir, program, network, storeAddress string, zones []zoneShape) ([]*host, error) {
	p, err := choosePorts(network + ".1.1")
	if err != nil {
		return nil, err
	}
	var hosts []*host
	zoneRegions := map[string]string{}
	var seeds []string
	for z, shape := range zones {
		zoneRegions[shape.name] = region
		for n := range shape.hosts {
			name := fmt.Sprintf("edge-%s-%d", shape.name, n+1)
			hosts = append(hosts, &host{
				name: name, zone: shape.name, ip: fmt.Sprintf("%s.%d.%d", network, z+1, n+1), program: program, ports: p,
				settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"),
			})
		}
		seeds = append(seeds, net.JoinHostPort(fmt.Sprintf("%s.%d.1", network, z+1), strconv.Itoa(p.control)))
	}
	for _, h := range hosts {
		if err := h.writeSettings(storeAddress, zoneRegions, seeds[:min(3, len(seeds))]); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

// bounds of the small deployments, as in the settings of their machines.
const (
	contactTime      = 4 * time.Second
	drainTime        = 3 * time.Second
	coldOver         = 1.5
	coldSlack        = 5.0
	retryBudgetRatio = 0.2
)

func (h *host) writeSettings(storeAddress string, zones map[string]string, seeds []string) error {
	address := func(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }
	settings := map[string]any{
		"node_name": h.name, "role": "host", "machine_class": "edge", "serves": []string{"edge", "directory", "control_plane"},
		"ip": h.ip, "zone": h.zone, "region": region, "zones": zones,
		"listen_addrs": map[string]string{
			"front": address(h.ports.front), "ready": address(h.ports.ready), "control": address(h.ports.control), "directory": address(h.ports.directory),
		},
		"port_range": []int{h.ports.first, h.ports.last}, "seeds": seeds, "bootstrap": true, "tolerated": false,
		"limits":    map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entrypoint": "directory", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"fault_tolerance": map[string]int{"nodes": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_staleness_s": 3, "addr_reuse_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 5000, "catchup_s": 4,
			"drain_ms": drainTime.Milliseconds(), "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250,
			"skew_max_ms": 12000, "retry_budget_ratio": retryBudgetRatio, "retry_window_s": 10, "budget_slack": 58,
			"cold_over": coldOver, "cold_slack": coldSlack, "evacuate_ms": 5000, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, text, 0o600)
}

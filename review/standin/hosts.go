//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the hosts, which are the same on all of them. The port of the metrics is fixed by
// the deploy file.
const (
	frontPort     = "8104"
	controlPort   = "8106"
	readyPort     = "8108"
	directoryPort = "8100"
	firstPeerPort = 7380
	lastPeerPort  = 7395
	storePort     = "8102"
	backendPort   = "8326"
	metricsPort   = "9464"
)

// program is the program of the deploy file, and role the argument that follows it.
const (
	program = "target/fescuerill"
	role    = "host"
)

// pickSubnet returns the first three bytes of loopback addresses whose ports are free.
func pickSubnet() (string, error) {
	for range 50 {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if free(subnet) {
			return subnet, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func free(subnet string) bool {
	for _, address := range []string{subnet + ".1:" + frontPort, subnet + ".2:" + metricsPort, subnet + ".200:" + storePort} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// hostProcess is a host of the system, run as a process of its own.
type hostProcess struct {
	name, ip, zone string
	settings       map[string]any
	path, logPath  string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
}

// deployment is the fleet with its store.
type deployment struct {
	dir, subnet string
	store       *store
	rec         *record
	hosts       []*hostProcess
}

// newDeployment starts a store and the hosts, one in each of the zones.
func newDeployment(rec *record, zones []string) (*deployment, error) {
	subnet, err := pickSubnet()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fescuerill-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, subnet: subnet, rec: rec}
	go d.endOnSignal()
	if d.store, err = startStore(subnet + ".200:" + storePort); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		ip := fmt.Sprintf("%s.%d", subnet, i+1)
		h := &hostProcess{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip, zone: zone}
		h.path, h.logPath = filepath.Join(dir, h.name+".json"), filepath.Join(dir, h.name+".log")
		h.settings = d.settingsOf(h, zones)
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// settingsOf returns the settings file of a host, with the bounds of a small deployment.
func (d *deployment) settingsOf(h *hostProcess, zones []string) map[string]any {
	areas := map[string]string{}
	for _, z := range zones {
		areas[z] = "khomas"
	}
	seeds := []string{}
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%s", d.subnet, i+1, controlPort))
	}
	return map[string]any{
		"node_name": h.name, "role": "host", "machine_class": "edge", "serves": []string{"edge", "directory", "control_plane"},
		"ip": h.ip, "zone": h.zone, "region": "khomas", "zones": areas,
		"listen_addrs": map[string]string{
			"front": h.ip + ":" + frontPort, "ready": h.ip + ":" + readyPort, "control": h.ip + ":" + controlPort, "directory": h.ip + ":" + directoryPort,
		},
		"port_range": []int{firstPeerPort, lastPeerPort}, "seeds": seeds[:min(3, len(seeds))], "bootstrap": true, "tolerated": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "bandwidth_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entrypoint": "directory", "heartbeat_ms": 1200,
		"policies":        []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"nodes": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seed_staleness_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 3000, "grace_s": 6,
			"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_ms": 250, "skew_max_ms": 12000, "retry_budget_ratio": 0.2,
			"retry_window_s": 10, "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recovery_s": 12, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": d.store.address, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
}

// writeSettings writes the settings file of a host.
func (h *hostProcess) writeSettings() error {
	text, err := json.MarshalIndent(h.settings, "", "  ")
	if err != nil {
		return err
	}
	temporary := h.path + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, h.path)
}

// start starts the process.
func (h *hostProcess) start() error {
	if err := h.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, role)
	cmd.Env = []string{"FESCUERILL_NODE_FILE=" + h.path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the host.
func (h *hostProcess) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// waitExit waits until the process has ended or a time has passed.
func (h *hostProcess) waitExit(d time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (h *hostProcess) front() string { return h.ip + ":" + frontPort }

// ready reports whether the host counts as ready.
func (h *hostProcess) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ip + ":" + readyPort + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// startAll starts all hosts and waits until they are ready.
func (d *deployment) startAll() error {
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(10 * time.Second)
	for _, h := range d.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return errors.New("host " + h.name + " is not ready in time")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// The hosts find each other by their probes and their records.
	time.Sleep(3 * time.Second)
	return nil
}

// resolve asks the directory of a host for the front addresses and their time to live.
func (d *deployment) resolve(h *hostProcess, zone string) ([]string, time.Duration, error) {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ip + ":" + directoryPort + "/v1/resolve?name=" + hostname + "&region=khomas&zone=" + zone)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, 0, err
	}
	var a struct {
		Addresses []string `json:"addrs"`
		TTLS      float64  `json:"ttl_s"`
	}
	if r.StatusCode != http.StatusOK || json.Unmarshal(text, &a) != nil || len(a.Addresses) == 0 {
		return nil, 0, errors.New("directory: status " + r.Status)
	}
	return a.Addresses, time.Duration(a.TTLS * float64(time.Second)), nil
}

// endOnSignal ends the hosts and this process when it is told to stop.
func (d *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	d.rec.write("the case took too long")
	d.end(nil)
	d.rec.close()
	os.Exit(couldnRun)
}

// end kills all processes that were started and removes the temporary folder. It copies the
// last lines of the logs to the record if the case wants them.
func (d *deployment) end(logLines func(line string) bool) {
	for _, h := range d.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGKILL)
			h.waitExit(5 * time.Second)
		}
		text, err := os.ReadFile(h.logPath)
		if err != nil || logLines == nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			if logLines(line) {
				d.rec.write("log of %s: %s", h.name, strings.TrimSpace(line))
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}

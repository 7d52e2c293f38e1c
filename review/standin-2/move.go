//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// serveAgain serves the store at a second address, which it returns.
func (d *deployment) serveAgain() (string, error) {
	l, err := listen(d.network + ".100.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// changeStore writes another address of the store into the settings of a host.
func (h *host) changeStore(before, after string) error {
	text, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(h.settings, bytes.ReplaceAll(text, []byte(before), []byte(after)), 0o600)
}

// moveCase moves the store to another address: the settings of all hosts change, some hosts get
// SIGHUP, and later the store is not at the old address any more.
func moveCase(p *play) (bool, error) {
	const (
		// signalled is the number of hosts that get SIGHUP, in turn over signalTime.
		signalled  = 5
		signalTime = 2 * time.Second
		// settleTime is the time with both addresses in use, and calmTime the time without the
		// old one before the manifest changes.
		settleTime    = 8 * time.Second
		calmTime      = 8 * time.Second
		applyTime     = 3 * time.Second
		probeInterval = 2 * time.Second
		probes        = 8
	)
	if err := p.startSearch(0); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	address := p.address
	if p.trouble {
		var err error
		if address, err = p.serveAgain(); err != nil {
			return false, err
		}
	}
	for _, h := range p.hosts {
		if err := h.changeStore(p.address, address); err != nil {
			return false, err
		}
	}
	p.record.add("the settings of all hosts name the store at %s; before, %s", address, p.address)
	for _, h := range p.hosts[:signalled] {
		_ = h.cmd.Process.Signal(syscall.SIGHUP)
		p.record.add("%s gets SIGHUP", h.name)
		time.Sleep(signalTime / signalled)
	}
	time.Sleep(settleTime)
	if p.trouble {
		_ = p.server.Close()
		p.record.add("nothing listens at %s any more", p.address)
	}
	time.Sleep(calmTime)
	m := p.manifest
	r := m.Routes[0]
	r.Name, r.Prefix = "r-new", "/new/"
	m.Routes = append(m.Routes, r)
	m.Version += 3
	p.putManifest(m)
	acknowledged, bad := time.Now(), 0
	c := newConsumer(p.deployment, "probe", smallZones[0].name)
	for n := range probes {
		time.Sleep(time.Until(acknowledged.Add(applyTime + 200*time.Millisecond + time.Duration(n)*probeInterval)))
		for _, h := range p.hosts[:signalled] {
			after := time.Since(acknowledged).Seconds()
			o := c.attempt(h.front(), http.MethodGet, "/new/2f", 600*time.Millisecond, nil)
			verdict := "held"
			if o.status == http.StatusNotFound {
				verdict = "BROKEN"
				bad++
			}
			p.record.add("%s: %s answers %s to %s on route /new/, %.1f s after the acknowledgement", verdict, h.name, o, o.id, after)
		}
	}
	p.record.add("%d of %d requests were refused with 404 though the route was there for over %s", bad, probes*signalled, applyTime)
	for _, h := range p.hosts[:1] {
		p.record.add("log of %s: %s", h.name, lastLine(h.log, "settings"))
	}
	return bad > 0, nil
}

// lastLine returns the last line of a log that contains a text.
func lastLine(path, text string) string {
	log, err := os.ReadFile(path)
	if err != nil {
		return fmt.Sprint(err)
	}
	last := ""
	for line := range bytes.Lines(log) {
		if bytes.Contains(line, []byte(text)) {
			last = string(bytes.TrimSpace(line))
		}
	}
	return last
}

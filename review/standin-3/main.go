//go:build review

// Command standin-3 plays the script cases of the third review: it starts the hosts of a small
// deployment as processes, and stands in for the platform's store, the backends and the
// consumers, all on loopback addresses.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	codeHeld   = 0
	codeBroken = 1
	codeNotRun = 2
)

// deployment is a small deployment with its stand-ins.
type deployment struct {
	ctx      context.Context
	trouble  bool
	network  int
	folder   string
	journal  *journal
	store    *store
	machines []*machine
	backends []*backend
}

// cases are the cases by name. A case returns a text for each time that the rule was broken.
var cases = map[string]func(*deployment) ([]string, error){}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD-FILE")
		return codeNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := newDeployment(ctx, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return codeNotRun
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		d.journal.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return codeNotRun
	}
	for _, text := range broken {
		d.journal.note("BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		return codeBroken
	}
	d.journal.note("the rule held")
	fmt.Println("the rule held")
	return codeHeld
}

// newDeployment starts the store of a deployment.
func newDeployment(ctx context.Context, record string) (*deployment, error) {
	d := &deployment{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if d.journal, err = newJournal(record); err != nil {
		return nil, err
	}
	if d.folder, err = os.MkdirTemp("", "fescuerill-review-"); err != nil {
		return nil, err
	}
	if d.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	d.store, err = newStore(fmt.Sprintf("127.%d.9.1:0", d.network))
	return d, err
}

// startMachines starts the machines and waits until all are ready.
func (d *deployment) startMachines(counts map[string]int) error {
	var err error
	if d.machines, err = newMachines(d.folder, d.network, counts, d.store.address); err != nil {
		return err
	}
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	ready := waitFor(10*time.Second, func() bool {
		for _, m := range d.machines {
			if !isReady(m) {
				return false
			}
		}
		return true
	})
	if !ready {
		return fmt.Errorf("the machines are not ready")
	}
	return nil
}

// addBackends starts backends of a service, one for each zone of the list.
func (d *deployment) addBackends(service string, zones []string, slots, records int, work time.Duration) ([]*backend, error) {
	var added []*backend
	for _, zone := range zones {
		b := &backend{
			id: fmt.Sprintf("i-%s-%s-%d", service, zone, len(d.backends)), service: service, zone: zone, slots: slots, records: records, work: work,
			store: d.store, journal: d.journal,
		}
		if err := b.start(fmt.Sprintf("127.%d.10.%d", d.network, 1+len(d.backends)%250)); err != nil {
			return nil, err
		}
		d.backends = append(d.backends, b)
		added = append(added, b)
	}
	return added, nil
}

// sleep waits for some time, or until the case is stopped.
func (d *deployment) sleep(t time.Duration) {
	select {
	case <-time.After(t):
	case <-d.ctx.Done():
	}
}

// close ends all processes and removes the temporary folder. With KEEP_LOGS set, the logs of
// the machines are kept there.
func (d *deployment) close() {
	for _, m := range d.machines {
		if m.command != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	d.journal.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range d.machines {
			text, _ := os.ReadFile(m.log)
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), text, 0o600)
		}
	}
	_ = os.RemoveAll(d.folder)
}

//go:build review2

// Command standin-2 plays the cases of the second review. It starts hosts of the project as
// separate processes, with stand-ins for the store, the backends and the consumers on loopback
// addresses, and exits with 1 if a rule was broken, 0 if it held and 2 if the case could not
// run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play is one run of a case.
type play struct {
	*deployment
	// trouble is set if the disruption takes place.
	trouble bool
}

// cases holds the function of each case. It reports whether the rule was broken.
var cases = map[string]func(p *play) (bool, error){
	"shard-crash": shardCrashCase,
	"storm":       stormCase,
	"directory":   directoryCase,
	"move":        moveCase,
}

func init() {
	// The hosts are killed when the thread that has started them ends. The main thread does not
	// end before the process.
	runtime.LockOSThread()
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/fescuerill", "program of the project")
	file := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	code, err := playCase(*name, *program, *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return notRun
	}
	return code
}

func playCase(name, program, file string) (int, error) {
	f := cases[name]
	if f == nil {
		return notRun, fmt.Errorf("unknown case %q", name)
	}
	r, err := newRecord(file)
	if err != nil {
		return notRun, err
	}
	defer func() { _ = r.close() }()
	dir, err := makeDir()
	if err != nil {
		return notRun, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := newDeployment(dir, program, r)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	endOnSignal(d)
	broken, err := f(&play{deployment: d, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		return notRun, err
	case broken:
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// endOnSignal ends all hosts and the process when it is asked to stop.
func endOnSignal(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		for _, h := range d.hosts {
			h.kill()
		}
		os.Exit(notRun)
	}()
}

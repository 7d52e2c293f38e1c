//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldnRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"late-copy": lateCopy,
	"encoded":   encoded,
	"grace":     grace,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "make the disruption")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(couldnRun)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldnRun)
	}
	code, err := run(rec, *trouble)
	if err != nil {
		rec.write("the case could not run: %v", err)
		code = couldnRun
	}
	rec.write("exit code %d", code)
	rec.close()
	os.Exit(code)
}

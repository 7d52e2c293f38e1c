// Package explain collects from the logs of hosts the lines about one request, and those
// about the state of the targets, the store and other hosts shortly before.
package explain

import (
	"bufio"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// lookBack is how long before the line of a request other lines are collected.
	lookBack = 10 * time.Second
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
)

// Line is a line of a host's log.
type Line struct {
	// Source is the name of the log.
	Source string
	At     time.Time
	Text   string
	// AboutRequest is set if the line is about the request itself, not its context.
	AboutRequest bool
}

var (
	timeField = regexp.MustCompile(`\btime=(\S+)`)
	// targetName matches the name of a target, which ends with a hexadecimal number.
	targetName = regexp.MustCompile(`[:=, ]([^\s:=,"]+-[0-9a-f]{4,})`)
)

// Log is the log of one or more hosts.
type Log struct {
	Name string
	io.Reader
}

// RequestLines returns the lines about a request in all logs and their context, sorted by
// time. The context of a line consists of the lines of the same log in the 10 s before it
// about the store, the manifest, other hosts and the targets that the line names.
func RequestLines(id string, logs []Log) ([]Line, error) {
	var found []Line
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		found = append(found, linesAbout(id, lines)...)
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found, nil
}

func read(l Log) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(l)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		m := timeField.FindStringSubmatch(s.Text())
		if m == nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, m[1])
		if err != nil {
			continue
		}
		lines = append(lines, Line{Source: l.Name, At: at, Text: s.Text()})
	}
	return lines, errors.Wrap(s.Err(), l.Name)
}

// linesAbout returns the lines of one log about the request, each after its context.
func linesAbout(id string, lines []Line) []Line {
	var found []Line
	for _, l := range lines {
		if !strings.Contains(l.Text, " id="+id+" ") {
			continue
		}
		l.AboutRequest = true
		found = append(found, contextLines(l, lines)...)
		found = append(found, l)
	}
	return found
}

// contextLines returns the lines within lookBack before the line of a request, without
// those about requests and those about targets that the line does not name.
func contextLines(request Line, lines []Line) []Line {
	named := map[string]bool{}
	for _, m := range targetName.FindAllStringSubmatch(request.Text, -1) {
		named[m[1]] = true
	}
	var found []Line
	for _, l := range lines {
		if l.At.After(request.At) || request.At.Sub(l.At) > lookBack || strings.Contains(l.Text, "msg=request") {
			continue
		}
		if strings.Contains(l.Text, "msg=targets") && !namesAny(l.Text, named) {
			continue
		}
		found = append(found, l)
	}
	return found
}

func namesAny(text string, named map[string]bool) bool {
	for name := range named {
		if strings.Contains(text, name+":") {
			return true
		}
	}
	return false
}

// Package explain gathers from the logs of hosts what is said of one request, and
// what the host believed of the targets and the store shortly before.
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
	// before is how far back the beliefs are gathered that led to a request's end.
	before = 10 * time.Second
	// lineMost is the length in bytes of the longest line.
	lineMost = 1 << 20
)

// Line is a line of a host's log.
type Line struct {
	// Source names the log.
	Source string
	At     time.Time
	Text   string
	// AboutRequest says that the line is about the request itself.
	AboutRequest bool
}

var (
	timeField = regexp.MustCompile(`\btime=(\S+)`)
	target    = regexp.MustCompile(`[:=, ]([^\s:=,"]+-[0-9a-f]{4,})`)
)

// Log is the log of one or more hosts.
type Log struct {
	Name string
	io.Reader
}

// RequestLines returns the lines about a request in all logs, and those about the store,
// the manifest, other hosts and the targets it names that the same log has of the
// seconds before, by time.
func RequestLines(id string, logs []Log) ([]Line, error) {
	var found []Line
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		found = append(found, about(id, lines)...)
	}
	slices.SortStableFunc(found, func(a, b Line) int { return a.At.Compare(b.At) })
	return found, nil
}

func read(l Log) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(l)
	s.Buffer(nil, lineMost)
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

// about returns the lines of one log that explain the request.
func about(id string, lines []Line) []Line {
	var found []Line
	for _, l := range lines {
		if !strings.Contains(l.Text, " id="+id+" ") {
			continue
		}
		l.AboutRequest = true
		found = append(found, beliefs(l, lines)...)
		found = append(found, l)
	}
	return found
}

// beliefs returns what the log says of the seconds before a line about the store,
// the manifest, hosts and the targets that the line names.
func beliefs(request Line, lines []Line) []Line {
	named := map[string]bool{}
	for _, m := range target.FindAllStringSubmatch(request.Text, -1) {
		named[m[1]] = true
	}
	var found []Line
	for _, l := range lines {
		if l.At.After(request.At) || request.At.Sub(l.At) > before || strings.Contains(l.Text, "msg=request") {
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

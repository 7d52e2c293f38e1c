package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in a settings file.
type Finding struct {
	file     string
	position Position
	key      string
	message  string
}

// Position is a position in a file. Lines and columns start at one; the zero
// Position refers to the whole file.
type Position struct {
	Line, Column int
}

// NewFinding returns a finding for a key of a file. The zero Position refers to
// the whole file.
func NewFinding(file string, position Position, key, message string) Finding {
	return Finding{file: file, position: position, key: key, message: message}
}

// Key returns the dotted key to which the finding applies.
func (f Finding) Key() string { return f.key }

// Position returns the position of the key in the file.
func (f Finding) Position() Position { return f.position }

// Message returns the description of the error.
func (f Finding) Message() string { return f.message }

// String returns the finding as file:line:column: key: message.
func (f Finding) String() string {
	key := f.key
	if key == "" {
		key = "(file)"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.file, f.position.Line, f.position.Column, key, f.message)
}

// Findings is the list of all errors in a settings file. It is an error if it is
// not empty.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

func (f Findings) sorted() Findings {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.position.Line != b.position.Line {
			return a.position.Line < b.position.Line
		}
		if a.position.Column != b.position.Column {
			return a.position.Column < b.position.Column
		}
		return a.key+a.message < b.key+b.message
	})
	return f
}

package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one thing that is wrong with a settings file.
type Finding struct {
	file    string
	place   Position
	key     string
	message string
}

// Position is a position in a file. Lines and columns count from one; the zero
// Place stands for the whole file.
type Position struct {
	Line, Column int
}

// NewFinding returns what is wrong with a key of a file. The zero Place stands
// for the whole file.
func NewFinding(file string, place Position, key, message string) Finding {
	return Finding{file: file, place: place, key: key, message: message}
}

// Key returns the dotted key that the finding is about.
func (f Finding) Key() string { return f.key }

// Position returns where in the file the key stands.
func (f Finding) Position() Position { return f.place }

// Message returns what is wrong.
func (f Finding) Message() string { return f.message }

// String returns the finding as file:line:column: key: message.
func (f Finding) String() string {
	key := f.key
	if key == "" {
		key = "(file)"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.file, f.place.Line, f.place.Column, key, f.message)
}

// Findings is everything that is wrong with a settings file. It is an error
// when it is not empty.
type Findings []Finding

// Error returns the findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

func (f Findings) sorted() Findings {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.place.Line != b.place.Line {
			return a.place.Line < b.place.Line
		}
		if a.place.Column != b.place.Column {
			return a.place.Column < b.place.Column
		}
		return a.key+a.message < b.key+b.message
	})
	return f
}

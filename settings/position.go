package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps dotted keys to their first position in a TOML text.
type positions map[string]Position

// indexPositions returns the positions of all keys and tables of text, up to the
// first syntax error.
func indexPositions(text []byte) positions {
	index := positions{}
	var p unstable.Parser
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = index.add(&p, nil, e.Key())
		case unstable.KeyValue:
			index.add(&p, table, e.Key())
		}
	}
	return index
}

func (x positions) add(p *unstable.Parser, table []string, keys unstable.Iterator) []string {
	path := append([]string(nil), table...)
	for keys.Next() {
		node := keys.Node()
		path = append(path, string(node.Data))
		start := p.Shape(node.Raw).Start
		x.put(path, Position{Line: start.Line, Column: start.Column})
	}
	return path
}

func (x positions) put(path []string, position Position) {
	key := strings.Join(path, ".")
	if _, ok := x[key]; !ok {
		x[key] = position
	}
}

// find returns the position of the key, or else of the nearest enclosing table
// that has one, or else the start of the file.
func (x positions) find(path []string) Position {
	for n := len(path); n > 0; n-- {
		if position, ok := x[strings.Join(path[:n], ".")]; ok {
			return position
		}
	}
	return Position{Line: 1, Column: 1}
}

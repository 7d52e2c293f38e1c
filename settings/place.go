package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// places maps dotted keys to where they first stand in a TOML text.
type places map[string]Position

// indexPlaces returns the places of all keys and tables of text, as far as it
// can be parsed.
func indexPlaces(text []byte) places {
	index := places{}
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

func (x places) add(p *unstable.Parser, table []string, keys unstable.Iterator) []string {
	path := append([]string(nil), table...)
	for keys.Next() {
		node := keys.Node()
		path = append(path, string(node.Data))
		start := p.Shape(node.Raw).Start
		x.put(path, Position{Line: start.Line, Column: start.Column})
	}
	return path
}

func (x places) put(path []string, at Position) {
	key := strings.Join(path, ".")
	if _, ok := x[key]; !ok {
		x[key] = at
	}
}

// find returns the place of the key, or of the nearest key above it.
func (x places) find(path []string) Position {
	for n := len(path); n > 0; n-- {
		if at, ok := x[strings.Join(path[:n], ".")]; ok {
			return at
		}
	}
	return Position{Line: 1, Column: 1}
}

package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"fescuerill/internal/schema/tree"
)

// WithDataCentreEvacuated returns the tree with a data centre taken out or back in.
func (t *Tree) WithDataCentreEvacuated(name string, out bool) (*Tree, error) {
	next, err := t.clone()
	if err != nil {
		return nil, err
	}
	if _, ok := next.raw.DataCentres[name]; !ok {
		return nil, errors.Wrap(ErrUnknownPath, name)
	}
	state := tree.DataCentreStateIn
	if out {
		state = tree.DataCentreStateOut
	}
	next.raw.DataCentres[name] = tree.DataCentre{State: &state}
	return next, nil
}

// WithTargetLeaving returns the tree with a target that leaves or returns.
func (t *Tree) WithTargetLeaving(path string, leaving bool) (*Tree, error) {
	next, err := t.clone()
	if err != nil {
		return nil, err
	}
	names := strings.Split(path, "/")
	if len(names) != 3 || !next.has(names) {
		return nil, errors.Wrap(ErrUnknownPath, path)
	}
	state := tree.TargetStateIn
	if leaving {
		state = tree.TargetStateLeave
	}
	targets := next.raw.Groups[names[0]].Services[names[1]].Targets
	b := targets[names[2]]
	b.State = &state
	targets[names[2]] = b
	return next, nil
}

// clone returns a tree that shares nothing with t.
func (t *Tree) clone() (*Tree, error) {
	text, err := t.EncodeTOML()
	if err != nil {
		return nil, err
	}
	return ParseTree("settings", text)
}

// EncodeTOML returns the tree as a settings file.
func (t *Tree) EncodeTOML() ([]byte, error) {
	text, err := toml.Marshal(t.raw)
	return text, errors.Wrap(err, "settings: text")
}

// Difference is a key with another value in two trees. An empty text stands
// for a key that is not there.
type Difference struct {
	Key, Old, New string
}

// Compare returns the keys whose values differ from old to t, sorted. A nil old
// has no keys.
func (t *Tree) Compare(old *Tree) ([]Difference, error) {
	after, err := t.flat()
	if err != nil {
		return nil, err
	}
	before := map[string]string{}
	if old != nil {
		if before, err = old.flat(); err != nil {
			return nil, err
		}
	}
	var out []Difference
	for key, v := range after {
		if before[key] != v {
			out = append(out, Difference{key, before[key], v})
		}
		delete(before, key)
	}
	for key, v := range before {
		out = append(out, Difference{key, v, ""})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (t *Tree) flat() (map[string]string, error) {
	text, err := t.EncodeTOML()
	if err != nil {
		return nil, err
	}
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, errors.Wrap(err, "settings: text")
	}
	out := map[string]string{}
	flatten(out, "", raw)
	return out, nil
}

func flatten(out map[string]string, prefix string, raw map[string]any) {
	for key, v := range raw {
		if table, ok := v.(map[string]any); ok {
			flatten(out, prefix+key+".", table)
			continue
		}
		out[prefix+key] = fmt.Sprint(v)
	}
}

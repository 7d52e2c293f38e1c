package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"fescuerill/internal/schema/tree"
)

// WithDataCentreEvacuated returns a copy of the tree in which the data centre is
// evacuated, or in use again.
func (t *Tree) WithDataCentreEvacuated(name string, evacuated bool) (*Tree, error) {
	next, err := t.clone()
	if err != nil {
		return nil, err
	}
	if _, ok := next.raw.DataCentres[name]; !ok {
		return nil, errors.Wrap(ErrUnknownPath, name)
	}
	state := tree.DataCentreStateIn
	if evacuated {
		state = tree.DataCentreStateOut
	}
	next.raw.DataCentres[name] = tree.DataCentre{State: &state}
	return next, nil
}

// WithTargetLeaving returns a copy of the tree in which the target is leaving, or in
// use again.
func (t *Tree) WithTargetLeaving(path string, leaving bool) (*Tree, error) {
	next, err := t.clone()
	if err != nil {
		return nil, err
	}
	names := strings.Split(path, "/")
	if len(names) != 3 || !next.contains(names) {
		return nil, errors.Wrap(ErrUnknownPath, path)
	}
	state := tree.TargetStateIn
	if leaving {
		state = tree.TargetStateLeave
	}
	targets := next.raw.Groups[names[0]].Services[names[1]].Targets
	target := targets[names[2]]
	target.State = &state
	targets[names[2]] = target
	return next, nil
}

// clone returns a deep copy of the tree.
func (t *Tree) clone() (*Tree, error) {
	text, err := t.EncodeTOML()
	if err != nil {
		return nil, err
	}
	return ParseTree("settings", text)
}

// EncodeTOML returns the tree as the TOML text of a settings file.
func (t *Tree) EncodeTOML() ([]byte, error) {
	text, err := toml.Marshal(t.raw)
	return text, errors.Wrap(err, "settings: encode tree as TOML")
}

// Difference is a key whose values differ between two trees. An empty value
// means that the tree does not have the key.
type Difference struct {
	Key, Old, New string
}

// Compare returns the keys whose values differ between old and t, sorted by
// key. A nil old counts as a tree without keys.
func (t *Tree) Compare(old *Tree) ([]Difference, error) {
	after, err := t.keyValues()
	if err != nil {
		return nil, err
	}
	before := map[string]string{}
	if old != nil {
		if before, err = old.keyValues(); err != nil {
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

func (t *Tree) keyValues() (map[string]string, error) {
	text, err := t.EncodeTOML()
	if err != nil {
		return nil, err
	}
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		return nil, errors.Wrap(err, "settings: decode tree from TOML")
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

package settings

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"fescuerill/internal/schema/tree"
)

// Part is a piece of the tree: the root, a target group without its services,
// or a service. It is named by the hash of its content, so that a piece that
// did not change is neither stored nor sent again: K. Park, S. Ihm, M. Bowman
// and V. Pai, "Supporting Practical Content-Addressable Caching with CZIP
// Compression", USENIX 2007.
type Part struct {
	path, hash, content string
}

// Path returns the path of the level; the root's is empty.
func (p Part) Path() string { return p.path }

// Hash returns the name of the content.
func (p Part) Hash() string { return p.hash }

// Content returns the content.
func (p Part) Content() string { return p.content }

// ContentHash returns the name of a content.
func ContentHash(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 36)
}

// Parts returns the pieces of the tree in order of their paths.
func (t *Tree) Parts() ([]Part, error) {
	var parts []Part
	add := func(path string, v any) error {
		text, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(err, path)
		}
		parts = append(parts, Part{path, ContentHash(string(text)), string(text)})
		return nil
	}
	root := t.raw
	root.Groups = nil
	if err := add("", root); err != nil {
		return nil, err
	}
	for _, name := range sortedKeys(t.raw.Groups) {
		group := t.raw.Groups[name]
		services := group.Services
		group.Services = nil
		if err := add(name, group); err != nil {
			return nil, err
		}
		for _, one := range sortedKeys(services) {
			if err := add(name+"/"+one, services[one]); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.path, b.path) })
	return parts, nil
}

// JoinParts makes a tree of its parts, given by path and content.
func JoinParts(parts map[string]string) (*Tree, error) {
	var t Tree
	if err := json.Unmarshal([]byte(parts[""]), &t.raw); err != nil {
		return nil, errors.Wrap(err, "settings: root part")
	}
	t.raw.Groups = tree.TreeGroups{}
	for _, path := range sortedKeys(parts) {
		if err := t.join(path, parts[path]); err != nil {
			return nil, errors.Wrap(err, "settings: part "+path)
		}
	}
	return &t, nil
}

func (t *Tree) join(path, content string) error {
	names := strings.Split(path, "/")
	switch {
	case path == "":
		return nil
	case len(names) == 1:
		group := tree.Group{}
		if err := json.Unmarshal([]byte(content), &group); err != nil {
			return err
		}
		group.Services = tree.GroupServices{}
		t.raw.Groups[path] = group
		return nil
	default:
		group, ok := t.raw.Groups[names[0]]
		if !ok {
			return ErrUnknownPath
		}
		var service tree.Service
		if err := json.Unmarshal([]byte(content), &service); err != nil {
			return err
		}
		group.Services[names[1]] = service
		return nil
	}
}

// Fingerprint names what the ownership of targets depends on: their paths,
// services and data centres.
func (v *Resolved) Fingerprint() string {
	var d xxhash.Digest
	for _, s := range v.services {
		for _, b := range s.targets {
			_, _ = d.WriteString(b.path + " " + b.dataCentre + "\n")
		}
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

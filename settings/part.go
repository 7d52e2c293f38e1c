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

// Part is a part of the tree: the root without its target groups, a target group
// without its services, or a service. Parts are content-addressed: a part is
// identified by the hash of its content, so that an unchanged part is neither
// stored nor sent again. See K. Park, S. Ihm, M. Bowman and V. Pai, "Supporting
// Practical Content-Addressable Caching with CZIP Compression", USENIX 2007.
type Part struct {
	path, hash, content string
}

// Path returns the path of the level; it is empty for the root.
func (p Part) Path() string { return p.path }

// Hash returns the hash of the content.
func (p Part) Hash() string { return p.hash }

// Content returns the content as JSON.
func (p Part) Content() string { return p.content }

// ContentHash returns the hash that identifies the content of a part, a manifest
// or a roster.
func ContentHash(content string) string {
	return strconv.FormatUint(xxhash.Sum64String(content), 36)
}

// Parts returns the parts of the tree, sorted by path.
func (t *Tree) Parts() ([]Part, error) {
	var parts []Part
	add := func(path string, v any) error {
		text, err := json.Marshal(v)
		if err != nil {
			return errors.Wrap(err, "settings: encode part "+path)
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
		for _, service := range sortedKeys(services) {
			if err := add(name+"/"+service, services[service]); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.path, b.path) })
	return parts, nil
}

// JoinParts assembles a tree from the contents of its parts, keyed by path.
func JoinParts(parts map[string]string) (*Tree, error) {
	var t Tree
	if err := json.Unmarshal([]byte(parts[""]), &t.raw); err != nil {
		return nil, errors.Wrap(err, "settings: decode root part")
	}
	t.raw.Groups = tree.TreeGroups{}
	for _, path := range sortedKeys(parts) {
		if err := t.addPart(path, parts[path]); err != nil {
			return nil, errors.Wrap(err, "settings: decode part "+path)
		}
	}
	return &t, nil
}

func (t *Tree) addPart(path, content string) error {
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

// Fingerprint returns a hash of the values that determine the ownership of
// targets: their paths, services and data centres.
func (r *Resolved) Fingerprint() string {
	var d xxhash.Digest
	for _, s := range r.services {
		for _, target := range s.targets {
			_, _ = d.WriteString(target.path + " " + target.dataCentre + "\n")
		}
	}
	return strconv.FormatUint(d.Sum64(), 36)
}

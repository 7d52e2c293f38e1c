package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"fescuerill/internal/schema/tree"
)

// Tree is the validated settings of a deployment. It is immutable.
type Tree struct {
	raw tree.Tree
}

// ParseTree parses and validates the text of a settings file. The error is of
// type Findings.
func ParseTree(file string, text []byte) (*Tree, error) {
	d := document{file: file}
	var t Tree
	if d.decode(text, treeSchema(), &t.raw) {
		t.check(&d)
	}
	if len(d.findings) > 0 {
		return nil, d.findings.sorted()
	}
	return &t, nil
}

// check adds findings for the rules that the schema cannot express.
func (t *Tree) check(d *document) {
	addresses := map[string]string{}
	t.checkPolicy(d, []string{"policy"}, t.levels())
	for _, group := range sortedKeys(t.raw.Groups) {
		groupPath := []string{"groups", group}
		t.checkPolicy(d, append(slices.Clone(groupPath), "policy"), t.levels(group))
		services := t.raw.Groups[group].Services
		for _, service := range sortedKeys(services) {
			servicePath := append(slices.Clone(groupPath), "services", service)
			t.checkPolicy(d, append(slices.Clone(servicePath), "policy"), t.levels(group, service))
			for _, name := range sortedKeys(services[service].Targets) {
				path := append(slices.Clone(servicePath), "targets", name)
				t.checkTarget(d, path, services[service].Targets[name], addresses)
				t.checkPolicy(d, append(slices.Clone(path), "policy"), t.levels(group, service, name))
			}
		}
	}
}

func (t *Tree) checkTarget(d *document, path []string, target tree.Target, addresses map[string]string) {
	if _, ok := t.raw.DataCentres[target.DataCentre]; !ok && target.DataCentre != "" {
		d.add(append(slices.Clone(path), "data-centre"), fmt.Sprintf("'%s' is not a data centre of this deployment", target.DataCentre))
	}
	addressPath := append(slices.Clone(path), "address")
	checkAddress(d, addressPath, target.Address)
	if target.Address == "" {
		return
	}
	if first, ok := addresses[target.Address]; ok {
		d.add(addressPath, fmt.Sprintf("%s is also the address of %s", target.Address, first))
		return
	}
	addresses[target.Address] = strings.Join(path, ".")
}

// checkAddress ignores an empty address, which the schema already rejects.
func checkAddress(d *document, path []string, address string) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.add(path, fmt.Sprintf("'%s' is not an IP address with a port", address))
	}
}

// checkPolicy checks the values that depend on one another, for a level that
// sets a policy of its own.
func (t *Tree) checkPolicy(d *document, path []string, levels []level) {
	if levels[len(levels)-1].policy == nil {
		return
	}
	merged, _ := mergeLevels(levels)
	p := newPolicy(merged)
	if p.coldSlots > p.slots {
		d.add(append(slices.Clone(path), "cold-slots"), fmt.Sprintf("%d exceeds slots, which is %d", p.coldSlots, p.slots))
	}
	if p.maxColdBatch > p.maxBatch {
		d.add(append(slices.Clone(path), "cold-batch"), fmt.Sprintf("%d exceeds batch, which is %d", p.maxColdBatch, p.maxBatch))
	}
	if p.slots >= p.maxConnections {
		d.add(append(slices.Clone(path), "slots"), fmt.Sprintf("%d leaves none of %d connections for reports", p.slots, p.maxConnections))
	}
}

// levels returns the policies from the built-in defaults down to the level with
// the given names.
func (t *Tree) levels(names ...string) []level {
	out := []level{{"default", defaults()}, {"deployment", t.raw.Policy}}
	if len(names) == 0 {
		return out
	}
	group := t.raw.Groups[names[0]]
	out = append(out, level{names[0], group.Policy})
	if len(names) == 1 {
		return out
	}
	service := group.Services[names[1]]
	out = append(out, level{strings.Join(names[:2], "/"), service.Policy})
	if len(names) == 2 {
		return out
	}
	return append(out, level{strings.Join(names, "/"), service.Targets[names[2]].Policy})
}

// EffectiveValues returns the effective settings of the level with the given path,
// sorted by key. The empty path is the deployment.
func (t *Tree) EffectiveValues(path string) ([]EffectiveValue, error) {
	var names []string
	if path != "" {
		names = strings.Split(path, "/")
	}
	if !t.contains(names) {
		return nil, errors.Wrap(ErrUnknownPath, path)
	}
	merged, origins := mergeLevels(t.levels(names...))
	fields := reflect.ValueOf(merged)
	var out []EffectiveValue
	for i := range fields.NumField() {
		key := policyKey(fields.Type().Field(i))
		out = append(out, EffectiveValue{key, fmt.Sprint(fields.Field(i).Elem().Interface()), origins[key]})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, nil
}

func (t *Tree) contains(names []string) bool {
	if len(names) == 0 {
		return true
	}
	group, ok := t.raw.Groups[names[0]]
	if !ok || len(names) == 1 {
		return ok
	}
	service, ok := group.Services[names[1]]
	if !ok || len(names) == 2 {
		return ok
	}
	_, ok = service.Targets[names[2]]
	return ok && len(names) == 3
}

func sortedKeys[M ~map[string]V, V any](m M) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

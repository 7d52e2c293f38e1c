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

// Tree is the checked settings of a deployment. It is not changed after it
// was parsed.
type Tree struct {
	raw tree.Tree
}

// ParseTree checks and reads the text of a settings file. The error is of type
// Findings.
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

// check adds what the schema cannot say.
func (t *Tree) check(d *document) {
	addresses := map[string]string{}
	t.checkPolicy(d, []string{"policy"}, t.levels())
	for _, group := range sortedKeys(t.raw.Groups) {
		at := []string{"groups", group}
		t.checkPolicy(d, append(slices.Clone(at), "policy"), t.levels(group))
		services := t.raw.Groups[group].Services
		for _, service := range sortedKeys(services) {
			under := append(slices.Clone(at), "services", service)
			t.checkPolicy(d, append(slices.Clone(under), "policy"), t.levels(group, service))
			for _, name := range sortedKeys(services[service].Targets) {
				path := append(slices.Clone(under), "targets", name)
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
	at := append(slices.Clone(path), "address")
	checkAddress(d, at, target.Address)
	if target.Address == "" {
		return
	}
	if first, ok := addresses[target.Address]; ok {
		d.add(at, fmt.Sprintf("%s is also the address of %s", target.Address, first))
		return
	}
	addresses[target.Address] = strings.Join(path, ".")
}

// checkAddress takes no notice of an empty address, which the schema reports.
func checkAddress(d *document, path []string, address string) {
	if address == "" {
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		d.add(path, fmt.Sprintf("'%s' is not an IP address with a port", address))
	}
}

// checkPolicy looks at values that only make sense together, where a level
// sets one of them.
func (t *Tree) checkPolicy(d *document, at []string, levels []level) {
	if levels[len(levels)-1].policy == nil {
		return
	}
	merged, _ := inherit(levels)
	p := resolve(merged)
	if p.coldSlots > p.slots {
		d.add(append(slices.Clone(at), "cold-slots"), fmt.Sprintf("%d is more than slots, which is %d", p.coldSlots, p.slots))
	}
	if p.coldBatch > p.batch {
		d.add(append(slices.Clone(at), "cold-batch"), fmt.Sprintf("%d is more than batch, which is %d", p.coldBatch, p.batch))
	}
	if p.slots >= p.connections {
		d.add(append(slices.Clone(at), "slots"), fmt.Sprintf("%d leaves no connection of %d for reports", p.slots, p.connections))
	}
}

// levels returns the policies from the default down to the named level.
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

// EffectiveValues returns the settings in force at the level with the given path,
// sorted by key. The empty path is the deployment.
func (t *Tree) EffectiveValues(path string) ([]EffectiveValue, error) {
	var names []string
	if path != "" {
		names = strings.Split(path, "/")
	}
	if !t.has(names) {
		return nil, errors.Wrap(ErrUnknownPath, path)
	}
	merged, from := inherit(t.levels(names...))
	in := reflect.ValueOf(merged)
	var out []EffectiveValue
	for i := range in.NumField() {
		key := policyKey(in.Type().Field(i))
		out = append(out, EffectiveValue{key, fmt.Sprint(in.Field(i).Elem().Interface()), from[key]})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].key < out[j].key })
	return out, nil
}

func (t *Tree) has(names []string) bool {
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

package settings

import (
	"bytes"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"gopkg.in/yaml.v3"

	"fescuerill/internal/schema"
)

var (
	treeSchema = sync.OnceValue(func() *jsonschema.Schema { return compile("tree", schema.Tree) })
	nodeSchema = sync.OnceValue(func() *jsonschema.Schema { return compile("node", schema.Node) })
)

// compile panics when the embedded schema is not valid, which is a fault of
// the build.
func compile(name string, text []byte) *jsonschema.Schema {
	var doc any
	if err := yaml.Unmarshal(text, &doc); err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(name)
}

// document is a TOML text on its way through the checks.
type document struct {
	file     string
	index    places
	findings Findings
}

// decode checks text against the schema and decodes it into out. Values that
// the schema rejects are left out, so that the rest can be checked too. It
// reports whether out was filled.
func (d *document) decode(text []byte, against *jsonschema.Schema, out any) bool {
	d.index = indexPlaces(text)
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		d.addSyntax(err)
		return false
	}
	if err := against.Validate(plain(raw)); err != nil {
		var invalid *jsonschema.ValidationError
		if !asError(err, &invalid) {
			d.add(nil, err.Error())
			return false
		}
		d.addInvalid(invalid, raw)
	}
	valid, err := toml.Marshal(raw)
	if err == nil {
		err = toml.NewDecoder(bytes.NewReader(valid)).DisallowUnknownFields().Decode(out)
	}
	if err != nil && len(d.findings) == 0 {
		d.add(nil, err.Error())
	}
	return err == nil
}

func (d *document) add(path []string, text string) {
	d.findings = append(d.findings, Finding{
		file: d.file, place: d.index.find(path), key: strings.Join(path, "."), message: text,
	})
}

func (d *document) addSyntax(err error) {
	var bad *toml.DecodeError
	if !asError(err, &bad) {
		d.add(nil, err.Error())
		return
	}
	line, column := bad.Position()
	d.findings = append(d.findings, Finding{
		file: d.file, place: Position{Line: line, Column: column},
		key: strings.Join(bad.Key(), "."), message: strings.TrimPrefix(bad.Error(), "toml: "),
	})
}

// addInvalid adds a finding for each leaf of the tree of errors and removes
// from raw the values that the leaves are about.
func (d *document) addInvalid(e *jsonschema.ValidationError, raw map[string]any) {
	if len(e.Causes) > 0 {
		for _, c := range e.Causes {
			d.addInvalid(c, raw)
		}
		return
	}
	path := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			unknown := append(slices.Clone(path), name)
			d.add(unknown, "unknown key")
			remove(raw, unknown)
		}
		return
	case *kind.Required:
		d.add(path, "missing "+strings.Join(k.Missing, ", "))
		return
	case *kind.MinProperties:
		d.add(path, "needs at least one entry")
		return
	case *kind.Pattern:
		d.add(path, "'"+k.Got+"' "+patternHint(k.Want))
	case *kind.ExclusiveMinimum:
		d.add(path, k.Got.RatString()+" is not above "+k.Want.RatString())
	default:
		d.add(path, e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
	remove(raw, path)
}

// remove deletes the value at path, if there is one.
func remove(raw map[string]any, path []string) {
	if len(path) == 0 {
		return
	}
	for _, name := range path[:len(path)-1] {
		next, ok := raw[name].(map[string]any)
		if !ok {
			return
		}
		raw = next
	}
	delete(raw, path[len(path)-1])
}

// patternHint says in words what a pattern of the schema asks for.
func patternHint(pattern string) string {
	switch {
	case strings.Contains(pattern, "ns|us|ms"):
		return "is not a duration with a unit, such as 60ms"
	case strings.Contains(pattern, "[0-9]{1,3}"):
		return "is not an IP address with a port, such as 10.0.0.1:8080; host names are not taken"
	default:
		return "is not a name of small letters, digits and dashes"
	}
}

// plain turns decoded TOML into the types that the validator knows.
func plain(v any) any {
	switch t := v.(type) {
	case map[string]any:
		for k, one := range t {
			t[k] = plain(one)
		}
		return t
	case []any:
		for i, one := range t {
			t[i] = plain(one)
		}
		return t
	case string, bool, int64, float64:
		return t
	default:
		return "a date or time"
	}
}

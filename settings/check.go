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
	treeSchema = sync.OnceValue(func() *jsonschema.Schema { return compileSchema("tree", schema.Tree) })
	nodeSchema = sync.OnceValue(func() *jsonschema.Schema { return compileSchema("node", schema.Node) })
)

// compileSchema panics if the embedded schema is invalid, which is a
// programming error.
func compileSchema(name string, text []byte) *jsonschema.Schema {
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

// document collects the findings of one TOML text.
type document struct {
	file      string
	positions positions
	findings  Findings
}

// decode validates text against the schema and decodes it into out. Values that
// the schema rejects are omitted, so that the remaining ones can be checked too.
// It reports whether out was decoded.
func (d *document) decode(text []byte, s *jsonschema.Schema, out any) bool {
	d.positions = indexPositions(text)
	var raw map[string]any
	if err := toml.Unmarshal(text, &raw); err != nil {
		d.addSyntax(err)
		return false
	}
	if err := s.Validate(jsonValue(raw)); err != nil {
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

func (d *document) add(path []string, message string) {
	d.findings = append(d.findings, Finding{
		file: d.file, position: d.positions.find(path), key: strings.Join(path, "."), message: message,
	})
}

func (d *document) addSyntax(err error) {
	var syntax *toml.DecodeError
	if !asError(err, &syntax) {
		d.add(nil, err.Error())
		return
	}
	line, column := syntax.Position()
	d.findings = append(d.findings, Finding{
		file: d.file, position: Position{Line: line, Column: column},
		key: strings.Join(syntax.Key(), "."), message: strings.TrimPrefix(syntax.Error(), "toml: "),
	})
}

// addInvalid adds a finding for each leaf of the tree of validation errors and
// removes the invalid values from raw.
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
			deletePath(raw, unknown)
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
		d.add(path, k.Got.RatString()+" is not greater than "+k.Want.RatString())
	default:
		d.add(path, e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
	deletePath(raw, path)
}

// deletePath deletes the value at path, if there is one.
func deletePath(raw map[string]any, path []string) {
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

// patternHint describes in words why a value does not match a pattern of the
// schema.
func patternHint(pattern string) string {
	switch {
	case strings.Contains(pattern, "ns|us|ms"):
		return "is not a duration with a unit, such as 60ms"
	case strings.Contains(pattern, "[0-9]{1,3}"):
		return "is not an IP address with a port, such as 10.0.0.1:8080; host names are not accepted"
	default:
		return "is not a name of lower-case letters, digits and dashes"
	}
}

// jsonValue converts decoded TOML to the types that the validator supports. It
// replaces dates and times, which JSON lacks, by a fixed string.
func jsonValue(v any) any {
	switch t := v.(type) {
	case map[string]any:
		for key, element := range t {
			t[key] = jsonValue(element)
		}
		return t
	case []any:
		for i, element := range t {
			t[i] = jsonValue(element)
		}
		return t
	case string, bool, int64, float64:
		return t
	default:
		return "a date or time"
	}
}

package daemon

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"gopkg.in/yaml.v3"

	"fescuerill/internal/schema"
	"fescuerill/internal/schema/caller"
)

// messageSchemas returns the schemas of the messages of callers, by name.
var messageSchemas = sync.OnceValue(func() map[string]*jsonschema.Schema {
	var doc any
	if err := yaml.Unmarshal(schema.Caller, &doc); err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("caller", doc); err != nil {
		panic(err)
	}
	return map[string]*jsonschema.Schema{
		"search": c.MustCompile("caller"),
		"action": c.MustCompile("caller#/$defs/action"),
	}
})

// checkMessage validates a message against its schema and decodes it.
func checkMessage(name string, body []byte, out any) *failure {
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(body))
	if err != nil {
		return badRequest("not-json", err.Error())
	}
	if err := messageSchemas()[name].Validate(v); err != nil {
		return badRequest("invalid-message", err.Error())
	}
	if err := json.Unmarshal(body, out); err != nil {
		return badRequest("not-json", err.Error())
	}
	return nil
}

// shuffleAddresses puts hosts into a random order, with those in the given data
// centre first.
func shuffleAddresses(hosts []caller.Address, dataCentre string) []caller.Address {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b caller.Address) int { return localityRank(a, dataCentre) - localityRank(b, dataCentre) })
	return hosts
}

func localityRank(a caller.Address, dataCentre string) int {
	if dataCentre != "" && a.DataCentre == dataCentre {
		return 0
	}
	return 1
}

// Package schema embeds the JSON Schemas of fescuerill's settings and messages.
// Each folder below it contains one schema and the Go types that are generated
// from it. The types have exported fields and are used to encode and decode the
// data that enters or leaves a process.
package schema

import _ "embed"

//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json,toml --capitalization ID -p tree -o tree/tree.gen.go tree/tree.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json,toml --capitalization ID -p node -o node/node.gen.go node/node.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p exchange -o exchange/exchange.gen.go exchange/exchange.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p caller -o caller/caller.gen.go caller/caller.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p peer -o peer/peer.gen.go peer/peer.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p platform -o platform/platform.gen.go platform/platform.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p fleet -o fleet/fleet.gen.go fleet/fleet.yaml
//go:generate go run github.com/atombender/go-jsonschema@v0.24.1 --only-models --struct-name-from-title --tags json --capitalization ID -p relay -o relay/relay.gen.go relay/relay.yaml

//go:generate go run github.com/tinylib/msgp@v1.6.5 -file peer -o peer/peer.msgp.gen.go -tests=false -marshal=true -io=false
//go:generate go run github.com/tinylib/msgp@v1.6.5 -file fleet -o fleet/fleet.msgp.gen.go -tests=false -marshal=true -io=false
//go:generate go run github.com/tinylib/msgp@v1.6.5 -file relay -o relay/relay.msgp.gen.go -tests=false -marshal=true -io=false

// Tree is the schema of the settings of a deployment.
//
//go:embed tree/tree.yaml
var Tree []byte

// Node is the schema of a daemon's settings.
//
//go:embed node/node.yaml
var Node []byte

// Caller is the schema of the messages between callers and hosts.
//
//go:embed caller/caller.yaml
var Caller []byte

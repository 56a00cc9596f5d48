package dragonflycroft

import _ "embed"

// ExampleConfig is the configuration document that the demo command uses.
//
//go:embed examples/kessler.json
var ExampleConfig []byte

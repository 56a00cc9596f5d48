package dragonflycroft

import _ "embed"

// ExampleConfig is the configuration document of the smaller example, which the demo runs.
//
//go:embed examples/kessler.json
var ExampleConfig []byte

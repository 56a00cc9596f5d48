package comparer

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/generator"
	"github.com/dragonflycroft/dragonflycroft/internal/tracer"
)

// maxTraceBytes bounds an unpacked trace file.
const maxTraceBytes = 256 << 20

// HashError reports a scenario whose trace does not have the recorded bytes.
type HashError struct{ Scenario, Want, Got string }

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("scenario %s: the trace hashes to %s, recorded is %s", e.Scenario, e.Got, e.Want)
}

// Load reads the traces of a file: a recorded trace (.jsonl, or .jsonl.gz when packed), or a scenario file (.json) whose
// traces are generated and compared with their recorded hashes. Only selects traces by a part of their name.
func Load(path, only string) ([]*tracer.Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	if strings.HasSuffix(path, ".json") {
		scenarios, err := generator.ReadScenarios(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		return record(scenarios, only)
	}
	var r io.Reader = file
	if strings.HasSuffix(path, ".gz") {
		unpacked, err := gzip.NewReader(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		r = unpacked
	}
	t, err := tracer.Decode(io.LimitReader(r, maxTraceBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if !strings.Contains(t.Header.Name, only) {
		return nil, nil
	}
	return []*tracer.Trace{t}, nil
}

func record(scenarios []generator.Scenario, only string) ([]*tracer.Trace, error) {
	var traces []*tracer.Trace
	for i := range scenarios {
		if !strings.Contains(scenarios[i].Name(), only) {
			continue
		}
		t, err := Record(&scenarios[i])
		if err != nil {
			return nil, err
		}
		traces = append(traces, t)
	}
	return traces, nil
}

// Record generates the trace of a scenario and compares the hash of its bytes with the recorded one.
func Record(c *generator.Scenario) (*tracer.Trace, error) {
	t, hash, err := c.Record(io.Discard)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", c.Name(), err)
	}
	if c.TraceXXH64 != "" && c.TraceXXH64 != hash {
		return nil, &HashError{Scenario: c.Name(), Want: c.TraceXXH64, Got: hash}
	}
	return t, nil
}

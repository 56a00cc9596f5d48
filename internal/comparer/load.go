package comparer

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/generator"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// maxTraceBytes bounds the decompressed size of a trace file.
const maxTraceBytes = 256 << 20

// HashError reports a scenario whose generated trace does not match its recorded hash.
type HashError struct{ Scenario, Want, Got string }

// Error implements error.
func (e *HashError) Error() string {
	return fmt.Sprintf("scenario %s: the hash of the trace is %s, want the recorded %s", e.Scenario, e.Got, e.Want)
}

// Load reads the traces of a file: a recorded trace (.jsonl, or .jsonl.gz when compressed), or a scenario file (.json) whose
// traces are generated and compared with their recorded hashes. It returns the traces whose name contains only.
func Load(path, only string) ([]*tracecoder.Trace, error) {
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
		return generateTraces(scenarios, only)
	}
	var r io.Reader = file
	if strings.HasSuffix(path, ".gz") {
		decompressed, err := gzip.NewReader(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		r = decompressed
	}
	t, err := tracecoder.Decode(io.LimitReader(r, maxTraceBytes))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if !strings.Contains(t.Header.Name, only) {
		return nil, nil
	}
	return []*tracecoder.Trace{t}, nil
}

func generateTraces(scenarios []generator.Scenario, only string) ([]*tracecoder.Trace, error) {
	var traces []*tracecoder.Trace
	for i := range scenarios {
		if !strings.Contains(scenarios[i].Name(), only) {
			continue
		}
		t, err := GenerateTrace(&scenarios[i])
		if err != nil {
			return nil, err
		}
		traces = append(traces, t)
	}
	return traces, nil
}

// GenerateTrace generates the trace of a scenario. It returns a *HashError if the scenario has a recorded hash and the trace
// does not match it.
func GenerateTrace(c *generator.Scenario) (*tracecoder.Trace, error) {
	t, hash, err := c.WriteTrace(io.Discard)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", c.Name(), err)
	}
	if c.TraceXXH64 != "" && c.TraceXXH64 != hash {
		return nil, &HashError{Scenario: c.Name(), Want: c.TraceXXH64, Got: hash}
	}
	return t, nil
}

// Package generator generates traces from small scenario files. Equal scenarios give equal traces.
package generator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// Shapes of traces.
const (
	ShapeQuietDay           = "quiet_day"
	ShapeFloodLeastUrgent   = "flood_least_urgent"
	ShapeFloodMostUrgent    = "flood_most_urgent"
	ShapeFloodOneCaller     = "flood_one_caller"
	ShapeSlowRunners        = "slow_runners"
	ShapeStaleReports       = "stale_reports"
	ShapeZoneLoss           = "zone_loss"
	ShapePoisonRequest      = "poison_request"
	ShapeRollingReplacement = "rolling_replacement"
	// ShapeHolderLoss fails the host that schedules the model pool, and its successor shortly after the failover.
	ShapeHolderLoss = "holder_loss"
	// ShapeWaitingLimit floods the most urgent tier until the limit on waiting requests forces the system to shed.
	ShapeWaitingLimit = "room_ends"
)

// Scenario holds the parameters of one trace.
type Scenario struct {
	User       string `json:"user"`
	Shape      string `json:"shape"`
	Seed       uint64 `json:"seed"`
	DurationMS int64  `json:"duration_ms"`
	// Load is the usual traffic as a fraction of what the runners can serve.
	Load float64 `json:"load"`
	// FloodFactor is the traffic of the flood as a multiple of what the runners can serve.
	FloodFactor float64 `json:"flood_factor,omitempty"`
	// TraceXXH64 is the hash of the trace's bytes, in hexadecimal.
	TraceXXH64 string `json:"trace_xxh64,omitempty"`
}

// Name returns the name of the scenario's trace.
func (c *Scenario) Name() string { return c.User + "/" + c.Shape }

// ReadScenarios decodes a scenario file, a JSON array.
func ReadScenarios(r io.Reader) ([]Scenario, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var list []Scenario
	if err := dec.Decode(&list); err != nil {
		return nil, fmt.Errorf("scenarios: %w", err)
	}
	for i := range list {
		if err := list[i].validate(); err != nil {
			return nil, fmt.Errorf("scenario %d: %w", i, err)
		}
	}
	return list, nil
}

func (c *Scenario) validate() error {
	if _, ok := profiles()[c.User]; !ok {
		return fmt.Errorf("unknown user %q", c.User)
	}
	if _, ok := shapes()[c.Shape]; !ok {
		return fmt.Errorf("unknown shape %q", c.Shape)
	}
	if c.DurationMS < 10_000 || c.DurationMS > 3_600_000 {
		return errors.New("duration_ms: want 10000 to 3600000")
	}
	if !(c.Load > 0 && c.Load <= 2 && c.FloodFactor >= 0 && c.FloodFactor <= 20) {
		return errors.New("load or flood_factor is out of range")
	}
	return nil
}

// WriteTrace generates the scenario's trace, writes the encoded trace to w and returns its hash in hexadecimal.
func (c *Scenario) WriteTrace(w io.Writer) (t *tracecoder.Trace, hash string, err error) {
	if t, err = Generate(c); err != nil {
		return nil, "", err
	}
	digest := xxhash.New()
	if err := tracecoder.Encode(io.MultiWriter(w, digest), t); err != nil {
		return nil, "", err
	}
	return t, fmt.Sprintf("%016x", digest.Sum64()), nil
}

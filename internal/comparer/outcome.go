package comparer

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
)

// Outcome holds the required measures of one trace.
type Outcome struct {
	Trace string `json:"trace"`
	// Scenarios is the path of the trace's scenario file, relative to the outcome file.
	Scenarios string  `json:"scenarios"`
	Bounds    []Bound `json:"bounds"`
}

// Bound limits one measure. Target names the statement of the design document from which the bound is taken.
type Bound struct {
	Measure string   `json:"measure"`
	Min     *float64 `json:"min,omitempty"`
	Max     *float64 `json:"max,omitempty"`
	Target  string   `json:"target"`
}

// MeasureError reports a bound on a measure that does not exist.
type MeasureError struct{ Measure string }

// Error implements error.
func (e *MeasureError) Error() string { return fmt.Sprintf("unknown measure %q", e.Measure) }

// ReadOutcome decodes an outcome file.
func ReadOutcome(r io.Reader) (*Outcome, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var o Outcome
	if err := dec.Decode(&o); err != nil {
		return nil, fmt.Errorf("outcome: %w", err)
	}
	for _, b := range o.Bounds {
		if b.Min == nil && b.Max == nil {
			return nil, fmt.Errorf("outcome: measure %q has no bound", b.Measure)
		}
	}
	return &o, nil
}

// Check compares a row with the bound. It returns the measured value and whether it is within the bound; NaN is not.
func (b *Bound) Check(r *Row) (value float64, ok bool, err error) {
	value, err = r.Value(b.Measure)
	if err != nil || math.IsNaN(value) {
		return value, false, err
	}
	ok = (b.Min == nil || value >= *b.Min) && (b.Max == nil || value <= *b.Max)
	return value, ok, nil
}

// String returns the bound in words.
func (b *Bound) String() string {
	var parts []string
	if b.Min != nil {
		parts = append(parts, fmt.Sprintf("at least %g", *b.Min))
	}
	if b.Max != nil {
		parts = append(parts, fmt.Sprintf("at most %g", *b.Max))
	}
	return b.Measure + " " + strings.Join(parts, " and ")
}

// Value returns a measure by name: "prompt_top" is the share of the most urgent tier's usual requests that met both targets,
// "breaches" counts the breaches of all invariants, and the name of a rule counts the breaches of that rule.
func (r *Row) Value(measure string) (float64, error) {
	m := r.Measures
	switch measure {
	case "prompt_top":
		if len(m.Tiers) == 0 {
			return math.NaN(), nil
		}
		return m.Tiers[0].OnTime, nil
	case "small_ratio":
		return m.SmallRatio, nil
	case "kept_share":
		return m.KeptShare, nil
	case "wasted_prefill":
		return m.WastedPrefill, nil
	case "breaches":
		return float64(r.Breaches()), nil
	}
	for _, rule := range auditor.Rules() {
		if string(rule) == measure {
			return float64(r.Result.Breaches[rule]), nil
		}
	}
	return 0, &MeasureError{Measure: measure}
}

package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dragonflycroft/dragonflycroft/internal/comparer"
)

// replayCommand replays recorded traces.
type replayCommand struct {
	Traces    []string `arg:"" help:"Recorded traces (.jsonl or .jsonl.gz) or scenario files (.json)." type:"existingfile"`
	Only      string   `help:"Part of the names of the traces to replay; all if empty." default:""`
	Policy    []string `help:"Policies: scheduler and the baselines; all if none is given."`
	Outcome   []string `help:"Files with stated outcomes; the traces that they name are checked against them." type:"existingfile"`
	Decisions string   `help:"File that receives a line for each decision." default:""`
}

// missedBoundsError lists the bounds of stated outcomes that the replay did not meet.
type missedBoundsError struct{ misses []string }

// Error implements error.
func (e *missedBoundsError) Error() string {
	return "stated outcomes missed:\n  " + strings.Join(e.misses, "\n  ")
}

// Run replays the traces and prints the table of measures, or checks stated outcomes.
func (r *replayCommand) Run(out io.Writer) (err error) {
	if len(r.Outcome) > 0 {
		return r.checkOutcomes(out)
	}
	options := comparer.Options{Paths: r.Traces, Only: r.Only, Policies: r.Policy, Out: out, Parallel: runtime.NumCPU()}
	if r.Decisions != "" {
		f, err := os.Create(r.Decisions)
		if err != nil {
			return eris.Wrap(err, "create the file of decisions")
		}
		defer func() {
			if closeErr := f.Close(); err == nil {
				err = closeErr
			}
		}()
		options.Decisions = f
	}
	return comparer.Run(options)
}

func (r *replayCommand) checkOutcomes(out io.Writer) error {
	var misses []string
	for _, path := range r.Outcome {
		missed, err := r.checkOutcome(out, path)
		if err != nil {
			return err
		}
		misses = append(misses, missed...)
	}
	if len(misses) > 0 {
		return &missedBoundsError{misses: misses}
	}
	return nil
}

func (r *replayCommand) checkOutcome(out io.Writer, path string) ([]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open stated outcome")
	}
	defer func() { _ = f.Close() }()
	outcome, err := comparer.ReadOutcome(f)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", path)
	}
	var misses []string
	for _, tracePath := range r.Traces {
		traces, err := comparer.Load(tracePath, outcome.Trace)
		if err != nil {
			return nil, err
		}
		for _, t := range traces {
			row, err := comparer.Replay(t, comparer.PolicyScheduler, true, nil)
			if err != nil {
				return nil, err
			}
			for _, b := range outcome.Bounds {
				value, ok, err := b.Check(row)
				if err != nil {
					return nil, err
				}
				line := fmt.Sprintf("%s: %s is %.4g, stated is %s", outcome.Trace, b.Measure, value, &b)
				_, _ = fmt.Fprintln(out, line)
				if !ok {
					misses = append(misses, line)
				}
			}
		}
	}
	return misses, nil
}

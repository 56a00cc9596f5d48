// Package scenariorunner injects failures into real processes and then checks the guarantees of the system.
//
// A scenario is a text file with one step per line. The runner starts the dragonflycroft binary as entry and control hosts on
// loopback addresses in three zones, with stand-in endpoints in its own process, and compares the records of the stand-ins with
// the outcomes that callers received.
package scenariorunner

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Step is one line of a scenario: a verb, positional arguments and key=value options.
type Step struct {
	Line    int
	Verb    string
	Args    []string
	Options map[string]string
}

// StepError reports the step of a scenario that failed.
type StepError struct {
	Line int
	Verb string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Verb, e.Err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// Parse reads the steps of a scenario. Empty lines and lines that start with # are skipped.
func Parse(r io.Reader) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		step := Step{Line: line, Verb: fields[0], Options: make(map[string]string)}
		for _, f := range fields[1:] {
			if key, value, ok := strings.Cut(f, "="); ok {
				step.Options[key] = value
			} else {
				step.Args = append(step.Args, f)
			}
		}
		if _, ok := verbs[step.Verb]; !ok {
			return nil, &StepError{Line: line, Verb: step.Verb, Err: fmt.Errorf("unknown step")}
		}
		steps = append(steps, step)
	}
	return steps, scanner.Err()
}

func (s Step) stringOption(key, def string) string {
	if v, ok := s.Options[key]; ok {
		return v
	}
	return def
}

func (s Step) intOption(key string, def int) (int, error) {
	v, ok := s.Options[key]
	if !ok {
		return def, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fmt.Errorf("option %s: %w", key, err)
	}
	return n, nil
}

func (s Step) durationArg(i int) (time.Duration, error) {
	if i >= len(s.Args) {
		return 0, fmt.Errorf("argument %d is missing", i+1)
	}
	return time.ParseDuration(s.Args[i])
}

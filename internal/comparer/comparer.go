// Package comparer replays traces under the scheduler and the baseline policies and tabulates the measures.
package comparer

import (
	"fmt"
	"io"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
	"github.com/dragonflycroft/dragonflycroft/internal/baseliner"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/scorer"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

// PolicyScheduler is the policy name of package scheduler.
const PolicyScheduler = "scheduler"

// Options configure Run.
type Options struct {
	// Paths are recorded traces or scenario files.
	Paths []string
	// Only selects traces by a part of their name; empty selects all.
	Only string
	// Policies are PolicyScheduler and the names of baselines; empty selects all.
	Policies []string
	// Out receives the table.
	Out io.Writer
	// Decisions receives a line for each action of the policies; nil drops them. With it, traces run one by one.
	Decisions io.Writer
	// Records receives a JSON line for each request; nil drops them. With it, traces run one by one.
	Records io.Writer
	// Parallel bounds the replays in progress; 0 means 1.
	Parallel int
}

// Row is the result of one trace under one policy.
type Row struct {
	Trace    string
	Policy   string
	Flood    bool
	Result   *replayer.Result
	Measures *scorer.Measures
}

// Policies lists the names of all policies.
func Policies() []string { return append([]string{PolicyScheduler}, baseliner.Names()...) }

// Builder returns the builder of a policy.
func Builder(policy string) (replayer.Builder, error) {
	if policy == PolicyScheduler {
		return buildScheduler, nil
	}
	if baseliner.New(policy, "") == nil {
		return nil, fmt.Errorf("unknown policy %q, want one of %s", policy, strings.Join(Policies(), ", "))
	}
	return func(setup replayer.Setup) replayer.Policy { return baseliner.New(policy, setup.Pool) }, nil
}

func buildScheduler(setup replayer.Setup) replayer.Policy {
	return scheduler.New(scheduler.Options{Pool: setup.Pool, Epoch: setup.Epoch, Seed: setup.Seed, Hosts: setup.Hosts})
}

// Replay runs one trace under one policy. With alsoWithoutFlood, a trace with a flood is also replayed without the flood,
// for the measures that compare the two.
func Replay(t *tracecoder.Trace, policy string, alsoWithoutFlood bool, decisions io.Writer) (*Row, error) {
	build, err := Builder(policy)
	if err != nil {
		return nil, err
	}
	result, err := replayer.Replay(t, replayer.Options{Build: build, Decisions: decisions})
	if err != nil {
		return nil, err
	}
	if err := result.Err(); err != nil {
		return nil, fmt.Errorf("write decisions: %w", err)
	}
	var withoutFlood *replayer.Result
	if alsoWithoutFlood && t.Header.Flood != nil {
		if withoutFlood, err = replayer.Replay(t.WithoutFlood(), replayer.Options{Build: build}); err != nil {
			return nil, err
		}
	}
	return &Row{
		Trace: t.Header.Name, Policy: policy, Flood: t.Header.Flood != nil, Result: result,
		Measures: scorer.Measure(&t.Header, result, withoutFlood),
	}, nil
}

// Run replays all traces under all policies and writes the table of the measures.
func Run(o Options) error {
	policies := o.Policies
	if len(policies) == 0 {
		policies = Policies()
	}
	for _, p := range policies {
		if _, err := Builder(p); err != nil {
			return err
		}
	}
	var traces []*tracecoder.Trace
	for _, path := range o.Paths {
		loaded, err := Load(path, o.Only)
		if err != nil {
			return err
		}
		traces = append(traces, loaded...)
	}
	if len(traces) == 0 {
		return fmt.Errorf("no trace has a name with %q in %s", o.Only, strings.Join(o.Paths, ", "))
	}
	rows, err := replayAll(traces, policies, o)
	if err != nil {
		return err
	}
	return WriteTable(o.Out, rows)
}

func replayAll(traces []*tracecoder.Trace, policies []string, o Options) ([]*Row, error) {
	rows := make([]*Row, len(traces)*len(policies))
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	if o.Decisions != nil || o.Records != nil {
		group.SetLimit(1)
	}
	for i, t := range traces {
		for j, p := range policies {
			group.Go(func() error {
				row, err := Replay(t, p, true, o.Decisions)
				if err == nil && o.Records != nil {
					err = row.Result.Write(o.Records)
				}
				rows[i*len(policies)+j] = row
				return err
			})
		}
	}
	return rows, group.Wait()
}

// Breaches counts the breaches of all invariants.
func (r *Row) Breaches() int {
	n := 0
	for _, rule := range auditor.Rules() {
		n += r.Result.Breaches[rule]
	}
	return n
}

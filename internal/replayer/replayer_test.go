package replayer_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dragonflycroft/dragonflycroft/internal/auditor"
	"github.com/dragonflycroft/dragonflycroft/internal/baseliner"
	"github.com/dragonflycroft/dragonflycroft/internal/generator"
	"github.com/dragonflycroft/dragonflycroft/internal/replayer"
	"github.com/dragonflycroft/dragonflycroft/internal/scheduler"
	"github.com/dragonflycroft/dragonflycroft/internal/tracecoder"
)

func baseline(name string) replayer.Builder {
	return func(setup replayer.Setup) replayer.Policy { return baseliner.New(name, setup.Pool) }
}

func generate(t *testing.T, shape string, load float64) *tracecoder.Trace {
	t.Helper()
	trace, err := generator.Generate(&generator.Scenario{User: "kessler", Shape: shape, Seed: 7, DurationMS: 60000, Load: load, FloodFactor: 2})
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// Guards against replays of one trace that differ because of map order, clocks or unseeded random numbers.
func TestReplayIsDeterministic(t *testing.T) {
	for _, shape := range []string{generator.ShapeZoneLoss, generator.ShapePoisonRequest, generator.ShapeFloodLeastUrgent} {
		t.Run(shape, func(t *testing.T) {
			trace := generate(t, shape, 0.3)
			var outputs [2]bytes.Buffer
			var digests [2]uint64
			for i := range outputs {
				r, err := replayer.Replay(trace, replayer.Options{Build: baseline("first_come"), Decisions: &outputs[i]})
				if err != nil {
					t.Fatal(err)
				}
				if err := r.Write(&outputs[i]); err != nil {
					t.Fatal(err)
				}
				digests[i] = r.Digest
			}
			if !bytes.Equal(outputs[0].Bytes(), outputs[1].Bytes()) || digests[0] != digests[1] {
				t.Errorf("two replays differ: %d and %d bytes, digests %x", outputs[0].Len(), outputs[1].Len(), digests)
			}
		})
	}
}

// Guards against a replayer that itself loses or duplicates requests: correct baselines must break no rule except the one on
// poison requests, which they do not quarantine.
func TestBaselinesKeepInvariants(t *testing.T) {
	for _, name := range baseliner.Names() {
		for _, shape := range []string{generator.ShapeQuietDay, generator.ShapeZoneLoss, generator.ShapePoisonRequest, generator.ShapeRollingReplacement} {
			t.Run(name+"_"+shape, func(t *testing.T) {
				r, err := replayer.Replay(generate(t, shape, 0.2), replayer.Options{Build: baseline(name)})
				if err != nil {
					t.Fatal(err)
				}
				for rule, n := range r.Breaches {
					if n > 0 && rule != auditor.RulePoison {
						t.Errorf("%s: %d breaches, %+v", rule, n, r.Violations)
					}
				}
				if shape == generator.ShapePoisonRequest && r.Breaches[auditor.RulePoison] == 0 {
					t.Error("no breach of the poison rule under a policy without quarantine; the poison request does not crash endpoints")
				}
			})
		}
	}
}

// policyFunc is a policy that handles each event with a function.
type policyFunc func(ev scheduler.Event) []scheduler.Action

func (f policyFunc) Step(_ time.Duration, ev scheduler.Event) []scheduler.Action { return f(ev) }

// Guards against a replayer that does not detect a policy's faults.
func TestDetectsPolicyFaults(t *testing.T) {
	submit := func(ev scheduler.Event, act func(s scheduler.Submit) []scheduler.Action) []scheduler.Action {
		if s, ok := ev.(scheduler.Submit); ok {
			return act(s)
		}
		return nil
	}
	endpoint := func(d scheduler.Descriptor) string {
		if d.Kind == "service" {
			return "s1"
		}
		return "m01"
	}
	tests := []struct {
		name   string
		policy policyFunc
		want   auditor.Rule
	}{
		{"sheds the top tier while others run", func(ev scheduler.Event) []scheduler.Action {
			return submit(ev, func(s scheduler.Submit) []scheduler.Action {
				if s.Descriptor.Tier == "counter" {
					return []scheduler.Action{scheduler.Refuse{Host: s.Host, RequestID: s.Descriptor.RequestID, Reason: scheduler.RefuseOverload}}
				}
				return []scheduler.Action{scheduler.Grant{Host: s.Host, RequestID: s.Descriptor.RequestID, Endpoint: endpoint(s.Descriptor), TTL: time.Second}}
			})
		}, auditor.RuleShedOrder},
		{"refuses what it has granted", func(ev scheduler.Event) []scheduler.Action {
			if s, ok := ev.(scheduler.Started); ok {
				return []scheduler.Action{scheduler.Refuse{Host: s.Host, RequestID: s.RequestID, Reason: scheduler.RefuseLimit}}
			}
			return submit(ev, func(s scheduler.Submit) []scheduler.Action {
				return []scheduler.Action{scheduler.Grant{Host: s.Host, RequestID: s.Descriptor.RequestID, Endpoint: endpoint(s.Descriptor), TTL: time.Second}}
			})
		}, auditor.RuleRefusedNotRun},
		{"uses leaving endpoints", func(ev scheduler.Event) []scheduler.Action {
			return submit(ev, func(s scheduler.Submit) []scheduler.Action {
				return []scheduler.Action{scheduler.Grant{Host: s.Host, RequestID: s.Descriptor.RequestID, Endpoint: endpoint(s.Descriptor), TTL: time.Second}}
			})
		}, auditor.RuleLeaving},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			trace := generate(t, generator.ShapeRollingReplacement, 0.05)
			r, err := replayer.Replay(trace, replayer.Options{Build: func(replayer.Setup) replayer.Policy { return test.policy }})
			if err != nil {
				t.Fatal(err)
			}
			if r.Breaches[test.want] == 0 {
				t.Errorf("no breach of %s is detected", test.want)
			}
		})
	}
}

// Guards against requests without a record.
func TestEveryRequestHasARecord(t *testing.T) {
	trace := generate(t, generator.ShapeZoneLoss, 0.3)
	r, err := replayer.Replay(trace, replayer.Options{Build: baseline("round_robin")})
	if err != nil {
		t.Fatal(err)
	}
	var want, got []string
	for i := range trace.Requests {
		want = append(want, trace.Requests[i].ID)
	}
	for i := range r.Records {
		got = append(got, r.Records[i].ID)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests (-trace +records):\n%.2000s", diff)
	}
}

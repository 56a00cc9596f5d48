package auditor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against an auditor that misses a violation or reports a false one: each script violates exactly one rule, or none.
func TestRules(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name   string
		script func(a *Auditor)
		want   map[Rule]int
	}{
		{"clean", func(a *Auditor) {
			a.Dispatched(0, "r1", "m1", "", 0)
			a.Answered(s, "r1", 3, 3)
			a.Ended("r1")
			a.Refused(s, "r2", 0, true)
		}, nil},
		{"twice", func(a *Auditor) { a.Dispatched(0, "r1", "m1", "", 0); a.Dispatched(s, "r1", "m2", "", 0) }, map[Rule]int{RuleDispatchedOnce: 1}},
		{"short answer", func(a *Auditor) { a.Answered(s, "r1", 2, 3) }, map[Rule]int{RuleAnswered: 1}},
		{"no answer", func(a *Auditor) { a.Unanswered(s, "r1") }, map[Rule]int{RuleAnswered: 1}},
		{"shed above served", func(a *Auditor) { a.Dispatched(0, "low", "m1", "", 3); a.Refused(s, "high", 1, true) }, map[Rule]int{RuleShedOrder: 1}},
		{"cut above served", func(a *Auditor) {
			a.Dispatched(0, "low", "m1", "", 3)
			a.Dispatched(0, "high", "m1", "", 1)
			a.Preempted(s, "high", 1)
		}, map[Rule]int{RuleShedOrder: 1}},
		{"shed after drain", func(a *Auditor) {
			a.Dispatched(0, "low", "m1", "", 3)
			a.Ended("low")
			a.Refused(s, "high", 1, true)
		}, nil},
		{"limit is no shedding", func(a *Auditor) { a.Dispatched(0, "low", "m1", "", 3); a.Refused(s, "high", 1, false) }, nil},
		{"ran after refusal", func(a *Auditor) { a.Refused(0, "r1", 0, true); a.Dispatched(s, "r1", "m1", "", 0) }, map[Rule]int{RuleRefusedNotRun: 1}},
		{"refused after run", func(a *Auditor) { a.Dispatched(0, "r1", "m1", "", 0); a.Refused(s, "r1", 0, false) }, map[Rule]int{RuleRefusedNotRun: 1}},
		{"order twice", func(a *Auditor) { a.Dispatched(0, "r1", "s1", "k", 0); a.Dispatched(s, "r2", "s2", "k", 0) }, map[Rule]int{RuleOrderOnce: 1}},
		{"leaving", func(a *Auditor) {
			a.LeavingListed(0, []string{"m1"})
			a.LeavingListed(s, []string{"m1"})
			a.Dispatched(5*s, "r1", "m1", "", 0)
			a.Dispatched(5*s+1, "r2", "m1", "", 0)
		}, map[Rule]int{RuleLeaving: 1}},
		{"back from leaving", func(a *Auditor) {
			a.LeavingListed(0, []string{"m1"})
			a.LeavingListed(s, nil)
			a.Dispatched(9*s, "r1", "m1", "", 0)
		}, nil},
		{"poison", func(a *Auditor) { a.Crashed(0, "f", "m1"); a.Crashed(s, "f", "m2"); a.Crashed(2*s, "f", "m3") }, map[Rule]int{RulePoison: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := New()
			test.script(a)
			got := map[Rule]int{}
			for _, r := range Rules() {
				if n := a.Count(r); n > 0 {
					got[r] = n
				}
			}
			if len(test.want) == 0 {
				test.want = map[Rule]int{}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}

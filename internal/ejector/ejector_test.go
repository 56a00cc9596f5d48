package ejector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against an endpoint that returns to full use at once after a failure, or never.
func TestGradualReturn(t *testing.T) {
	var a Availability
	r := rng()
	if !a.Fail(0, true, r) || a.Fail(100*time.Millisecond, true, r) {
		t.Error("signs of one failure should count once")
	}
	part := func(now time.Duration) string {
		p, probe := a.Part(now)
		return fmt.Sprint(p, probe)
	}
	now := time.Duration(0)
	check := func(after time.Duration, want string) {
		t.Helper()
		now += after
		if got := part(now); got != want {
			t.Errorf("at %s: part %s, want %s", now, got, want)
		}
	}
	check(400*time.Millisecond, "0 false")
	check(300*time.Millisecond, "1 true")
	a.Probe(now)
	a.Succeed(now)
	check(0, "1 true")
	a.Succeed(now)
	check(0, "0.25 false")
	check(returnStep, "0.5 false")
	check(returnStep, "1 false")
	if !a.Open(now) {
		t.Error("not in full use")
	}
	a.Fail(now, false, r)
	check(900*time.Millisecond, "0 false")
}

// Guards against a failure that ends an ejection early.
func TestFailureWhileEjected(t *testing.T) {
	var a Availability
	a.Eject(0)
	a.Fail(time.Second, true, rng())
	if p, _ := a.Part(ejectTime - 1); p != 0 {
		t.Error("in use before the ejection has ended")
	}
}

// Guards against an endpoint kept out by one silent connection while its other runs progress, and against one that
// refuses connects returning because of its old runs.
func TestProgressDisproves(t *testing.T) {
	var a, refusing Availability
	a.Fail(0, false, rng())
	refusing.Fail(0, true, rng())
	if a.Alive(aliveDelay - 1) {
		t.Error("a report of progress from before the failure disproves it")
	}
	if !a.Alive(aliveDelay) {
		t.Error("progress does not disprove a reset")
	}
	if refusing.Alive(aliveDelay) {
		t.Error("progress of old runs disproves a refused connect")
	}
}

// Guards against ejecting more than the share, single slow moments, and slow generations of hardware.
func TestOutliers(t *testing.T) {
	measures := func(slow ...int) []Measure {
		var ms []Measure
		for i := range 12 {
			m := Measure{Endpoint: fmt.Sprintf("e%02d", i), Group: "new", Slowness: []float64{1, 0.02}}
			if i >= 8 {
				m.Group, m.Slowness = "old", []float64{4, 0.08}
			}
			for _, s := range slow {
				if s == i {
					m.Slowness[1] *= 4 + float64(i)
				}
			}
			ms = append(ms, m)
		}
		return ms
	}
	o := NewOutliers()
	for range slowRounds - 1 {
		if got := o.Review(measures(0, 1, 2), 0.17); got != nil {
			t.Errorf("ejected %v before the last round", got)
		}
	}
	if diff := cmp.Diff([]string{"e02", "e01"}, o.Review(measures(0, 1, 2), 0.17)); diff != "" {
		t.Errorf("the slowest two of three within the share (-want +got):\n%s", diff)
	}
	o = NewOutliers()
	for range 2 * slowRounds {
		unnamed := measures()
		for i := range unnamed {
			unnamed[i].Group = ""
		}
		if got := o.Review(unnamed, 0.5); got != nil {
			t.Errorf("ejected %v: an older generation whose hardware is not configured", got)
		}
	}
	o = NewOutliers()
	for i := range 4 * slowRounds {
		slow := []int{3}
		if i%slowRounds == 0 {
			slow = nil
		}
		if got := o.Review(measures(slow...), 0.5); got != nil {
			t.Errorf("ejected %v, slow only in single rounds", got)
		}
	}
}

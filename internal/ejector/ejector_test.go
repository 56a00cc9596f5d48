package ejector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against an endpoint whose full limit is usable immediately after a failure, or never again.
func TestGradualReturn(t *testing.T) {
	var a Availability
	r := rng()
	if !a.RecordFailure(0, true, r) || a.RecordFailure(100*time.Millisecond, true, r) {
		t.Error("two reports of one failure are counted twice")
	}
	state := func(now time.Duration) string {
		p, probe := a.UsableShare(now)
		return fmt.Sprint(p, probe)
	}
	now := time.Duration(0)
	check := func(after time.Duration, want string) {
		t.Helper()
		now += after
		if got := state(now); got != want {
			t.Errorf("at %s: share and probe %s, want %s", now, got, want)
		}
	}
	check(400*time.Millisecond, "0 false")
	check(300*time.Millisecond, "1 true")
	a.RecordProbe(now)
	a.RecordSuccess(now)
	check(0, "1 true")
	a.RecordSuccess(now)
	check(0, "0.25 false")
	check(rampInterval, "0.5 false")
	check(rampInterval, "1 false")
	if !a.FullyAvailable(now) {
		t.Error("the full limit is not usable after the ramp-up")
	}
	a.RecordFailure(now, false, r)
	check(900*time.Millisecond, "0 false")
}

// Guards against a failure that ends an ejection early.
func TestFailureWhileEjected(t *testing.T) {
	var a Availability
	a.Eject(0)
	a.RecordFailure(time.Second, true, rng())
	if p, _ := a.UsableShare(initialEjection - 1); p != 0 {
		t.Error("usable before the ejection has ended")
	}
}

// Guards against an endpoint that stays unavailable after the failure of one connection while its other runs progress, and
// against an endpoint that refuses connections and becomes available because its earlier runs progress.
func TestProgressEndsUnavailability(t *testing.T) {
	var a, refusing Availability
	a.RecordFailure(0, false, rng())
	refusing.RecordFailure(0, true, rng())
	if a.RecordProgress(minProgressDelay - 1) {
		t.Error("progress that may precede the failure ends the back-off")
	}
	if !a.RecordProgress(minProgressDelay) {
		t.Error("progress does not end the back-off after a reset")
	}
	if refusing.RecordProgress(minProgressDelay) {
		t.Error("progress of earlier runs ends the back-off after a refused connection")
	}
}

// Guards against ejecting more than the configured share, after single slow rounds, or because of older hardware.
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
	o := NewOutlierDetector()
	for range requiredRounds - 1 {
		if got := o.Detect(measures(0, 1, 2), 0.17); got != nil {
			t.Errorf("ejected %v before the last round", got)
		}
	}
	if diff := cmp.Diff([]string{"e02", "e01"}, o.Detect(measures(0, 1, 2), 0.17)); diff != "" {
		t.Errorf("the slowest two of three within the share (-want +got):\n%s", diff)
	}
	o = NewOutlierDetector()
	for range 2 * requiredRounds {
		unknownHardware := measures()
		for i := range unknownHardware {
			unknownHardware[i].Group = ""
		}
		if got := o.Detect(unknownHardware, 0.5); got != nil {
			t.Errorf("ejected %v: older hardware that is not configured", got)
		}
	}
	o = NewOutlierDetector()
	for i := range 4 * requiredRounds {
		slow := []int{3}
		if i%requiredRounds == 0 {
			slow = nil
		}
		if got := o.Detect(measures(slow...), 0.5); got != nil {
			t.Errorf("ejected %v: never slow for enough consecutive rounds", got)
		}
	}
}

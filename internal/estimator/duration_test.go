package estimator

import (
	"testing"
	"time"
)

// Guards against a bound below most of the durations, and against one that does not follow a change.
func TestDurationBound(t *testing.T) {
	var d Duration
	if _, known := d.Bound(); known {
		t.Error("a bound is known without observations")
	}
	observe := func(low, high time.Duration) (covered int) {
		for i := range 200 {
			took := low + (high-low)*time.Duration(i*7%20)/20
			if bound, known := d.Bound(); known && took <= bound {
				covered++
			}
			d.Observe(took)
		}
		return covered
	}
	if covered := observe(time.Second, 3*time.Second); covered < 180 {
		t.Errorf("%d of 200 durations from 1 s to 3 s are within the bound, want 180", covered)
	}
	observe(100*time.Millisecond, 100*time.Millisecond)
	if bound, _ := d.Bound(); bound > 200*time.Millisecond {
		t.Errorf("bound %v after 200 durations of 100 ms", bound)
	}
}

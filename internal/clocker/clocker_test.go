package clocker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/clocker"
)

// A host that wakes from a suspension must see that its leases have ended. Differences between two readings of the clocks must
// not move the time, and never back.
func TestSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Hour
		clock := &clocker.Clock{Suspended: func() time.Duration { return asleep }}
		began := clock.Now()
		for _, step := range []struct {
			slept, passed, want time.Duration
		}{
			{want: 0},
			{passed: time.Second, want: time.Second},
			{slept: 10 * time.Millisecond, want: time.Second},
			{slept: -10 * time.Millisecond, want: time.Second},
			{slept: 5 * time.Second, want: 6 * time.Second},
			{slept: -time.Second, want: 6 * time.Second},
			{slept: time.Second, passed: time.Second, want: 7 * time.Second},
		} {
			asleep += step.slept
			time.Sleep(step.passed)
			if got := clock.Now().Sub(began); got != step.want {
				t.Errorf("after %v asleep and %v awake %v have passed, want %v", step.slept, step.passed, got, step.want)
			}
		}
	})
}

// Without a suspension the time is the steady one.
func TestNow(t *testing.T) {
	before := time.Now()
	now := clocker.Now()
	if d := now.Sub(before); d < 0 || d > time.Second {
		t.Errorf("%v from the steady clock", d)
	}
	if d := clocker.Since(now); d < 0 || d > time.Second {
		t.Errorf("%v since just now", d)
	}
}
